"""Tests of the log of requests that end without a normal answer."""

from collections.abc import Iterator

import logbook
import pytest

from medlarquay import events, ids, ingress, states, transport
from medlarquay.cli import log_line
from medlarquay.tasks.tests import ingress_bench

_NAMES = transport.HeaderNames(request_id=b'request-id')


@pytest.fixture
def bench() -> ingress_bench.IngressBench:
    """Return a router whose requests have an id."""
    bench = ingress_bench.IngressBench(
        ingress_bench.backend('a1'),
        ingress_bench.backend('a2'),
    )
    bench.router.settings = ingress.IngressSettings(names=_NAMES)
    return bench


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect log records."""
    with logbook.TestHandler() as handler:
        yield handler


def _logged_fields(logged: logbook.TestHandler, request: str) -> dict[str, str]:
    lines = [
        record.message
        for record in logged.records
        if f'request={request} ' in record.message
    ]
    return log_line.LogLine(
        source='',
        time='',
        part='ingress',
        text=ingress_bench.single(lines),
    ).fields


def test_request_open_at_the_stop_is_logged(
    bench: ingress_bench.IngressBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a request that ends with the process without a log."""
    bench.send(1, request_id='open')
    answered = bench.send(2, request_id='answered')
    bench.answer(answered.request.call_id)
    bench.clock.advance(1.5)
    bench.router.post(
        events.LifecycleChanged(state=states.NodeState.DRAINING),
    )
    bench.router.post(events.LifecycleChanged(state=states.NodeState.STOPPED))
    # The process closes the connections of callers when it ends.
    bench.router.post(events.CallerGone(caller=ids.CallerId(1)))
    fields = _logged_fields(logged, 'open')
    assert fields['told'] == '-'
    assert fields['reason'] == 'node_stopped'
    assert fields['outcome'] == 'unknown'
    assert fields['owner'] == fields['instance']
    assert fields['attempts'] == '1'
    assert (fields['after_ms'], fields['sent_ms']) == ('1500', '1500')
    assert fields['left_ms'] == '500'
    assert _logged_fields(logged, 'answered')['told'] == '200'
    assert bench.counters.counts[states.Unanswered.NODE_STOPPED] == 1


def test_request_whose_caller_disconnects_is_logged(
    bench: ingress_bench.IngressBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a request that is cancelled without a log line."""
    bench.send(1, request_id='closed')
    bench.clock.advance(0.25)
    bench.router.post(events.CallerGone(caller=ids.CallerId(1)))
    fields = _logged_fields(logged, 'closed')
    assert (fields['told'], fields['reason']) == ('-', 'caller_gone')
    assert fields['after_ms'] == '250'
    assert bench.counters.counts[states.Unanswered.CALLER_GONE] == 1


def test_idle_caller_that_disconnects_is_not_logged(
    bench: ingress_bench.IngressBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a log line for each connection, not each request."""
    sent = bench.send(1, request_id='done')
    bench.answer(sent.request.call_id)
    bench.router.post(events.CallerGone(caller=ids.CallerId(1)))
    assert _logged_fields(logged, 'done')['told'] == '200'
    assert not bench.counters.counts[states.Unanswered.CALLER_GONE]


@pytest.mark.parametrize(
    'ended', ['received', 'refused', 'answered', 'expired']
)
def test_request_is_answered_if_its_handler_fails(
    bench: ingress_bench.IngressBench,
    logged: logbook.TestHandler,
    monkeypatch: pytest.MonkeyPatch,
    ended: str,
) -> None:
    """Guards against a caller that waits although its message failed.

    An exception in a handler of the router ends the handling of the message.
    """
    sent = bench.send(1, request_id='first')
    bench.listener.take()
    # Each handler that updates the observations of owners fails from now on.
    monkeypatch.setattr(bench.router, 'observe', None)
    if ended == 'received':
        bench.request(2, b'POST', request_id='first')
    elif ended == 'refused':
        bench.refuse(sent.request.call_id, states.RefusalReason.DRAINING)
    elif ended == 'answered':
        bench.answer(sent.request.call_id)
    else:
        bench.router.post(events.CallExpired(call_id=sent.request.call_id))
    answer = ingress_bench.single(bench.listener.take())
    assert answer.status == 502
    assert (b'medlarquay-reason', b'internal_error') in answer.headers
    fields = _logged_fields(logged, 'first')
    assert fields['told'] == '502'
    assert fields['outcome'] == 'unknown'


def test_decision_names_its_version_and_the_age_of_its_confirmation(
    bench: ingress_bench.IngressBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a stale decision that looks like a fresh one in the log."""
    confirmed_at = bench.clock.seconds()
    bench.router.post(
        events.FreshnessConfirmed(
            confirmed_at=confirmed_at, list_confirmed_at=confirmed_at
        ),
    )
    bench.clock.advance(1.25)
    sent = bench.send(1, request_id='routed')
    bench.clock.advance(0.5)
    bench.answer(sent.request.call_id)
    bench.request(2, target=b'x', request_id='refused')
    fields = _logged_fields(logged, 'routed')
    assert (fields['revision'], fields['confirmed_ms']) == ('1', '1250')
    assert fields['route']
    fields = _logged_fields(logged, 'refused')
    assert (fields['revision'], fields['confirmed_ms']) == ('1', '1750')


def test_decision_without_confirmation_says_so(
    bench: ingress_bench.IngressBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against an age of a confirmation that never happened."""
    sent = bench.send(1, request_id='routed')
    bench.answer(sent.request.call_id)
    assert _logged_fields(logged, 'routed')['confirmed_ms'] == '-'
