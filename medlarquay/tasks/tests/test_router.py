"""Tests of the answers that the router sends to callers."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarquay import events, ids, ingress, keys, messages, states
from medlarquay.tasks.tests import ingress_bench

_BACKENDS = (ingress_bench.backend('a1'), ingress_bench.backend('a2'))
_RETRY_AFTER = frozenset(f'0.{hundredths}' for hundredths in range(15, 46))
_DROPPED = states.DroppedMessage.NO_CALL_AT_INGRESS


@pytest.fixture
def bench() -> ingress_bench.IngressBench:
    """Return a router with two backend servers on other nodes."""
    return ingress_bench.IngressBench(*_BACKENDS)


def _key(instance: str, incarnation: str) -> str:
    return keys.issue_key(
        instance=ids.InstanceId(instance),
        incarnation=ids.Incarnation(incarnation),
        issued_at=0,
    )


def test_answers_are_sent_to_their_own_callers(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against swapped, late and duplicate answers."""
    first, second = bench.send(1), bench.send(2)
    bench.answer(second.request.call_id, b'two')
    bench.answer(second.request.call_id, b'two')
    bench.answer(first.request.call_id, b'one')
    bodies = [(answer.caller, answer.body) for answer in bench.take_answers()]
    assert bodies == [(2, b'two'), (1, b'one')]
    assert bench.counters.counts[_DROPPED] == 1


def test_late_answer_of_earlier_attempt_is_dropped(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against two answers to one request after a retry."""
    bench.request(1)
    first = ingress_bench.single(bench.take_calls())
    bench.lose(first.request.call_id)
    second = ingress_bench.single(bench.take_calls())
    assert second.instance != first.instance
    bench.answer(first.request.call_id, b'late')
    assert not bench.take_answers()
    bench.answer(second.request.call_id, b'good')
    assert [answer.body for answer in bench.take_answers()] == [b'good']


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    results=st.lists(st.tuples(st.integers(1, 9), st.integers(0, 2))),
    disconnected=st.sets(st.integers(1, 4)),
)
def test_each_caller_gets_at_most_one_answer(
    results: list[tuple[int, int]],
    disconnected: set[int],
) -> None:
    """Guards against answers to the wrong caller, or more than one.

    Results arrive in any order, late or repeated, and callers disconnect.
    """
    bench = ingress_bench.IngressBench(*_BACKENDS)
    owners = {
        bench.send(caller).request.call_id: caller for caller in range(1, 5)
    }
    for caller in disconnected:
        bench.router.post(events.CallerGone(caller=ids.CallerId(caller)))
    answers = []
    for number, kind in results:
        call_id = ids.CallId(number)
        if kind == 0:
            bench.answer(call_id, b'%d' % owners.get(call_id, 0))
        elif kind == 1:
            bench.lose(call_id)
        else:
            bench.refuse(call_id, states.RefusalReason.QUARANTINED)
        answers.extend(bench.take_answers())
    callers = [answer.caller for answer in answers]
    assert len(callers) == len(set(callers))
    assert not disconnected.intersection(callers)
    for answer in answers:
        assert answer.body in {b'', b'%d' % answer.caller}


def test_post_lost_after_sending_is_unknown_and_not_retried(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a POST request that runs twice.

    It may have run at the owner whose link was lost.
    """
    call = bench.send(1)
    bench.lose(call.request.call_id)
    assert not bench.take_calls()
    answer_fields = bench.answer_fields()
    assert (answer_fields['status'], answer_fields['outcome']) == (
        '502',
        'unknown',
    )
    assert answer_fields['reason'] == 'owner_lost'
    record = ingress_bench.single(bench.records)
    assert record.outcome is states.Outcome.UNKNOWN


def test_refused_post_is_retried_on_another_backend_server(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a POST request that fails although it was not run."""
    reason = states.RefusalReason.NO_CONFIGURATION
    for caller in range(8):
        first = bench.send(caller)
        bench.refuse(first.request.call_id, reason)
        second = ingress_bench.single(bench.take_calls())
        assert second.instance != first.instance
        bench.refuse(second.request.call_id, reason)
        answer_fields = bench.answer_fields()
        assert (answer_fields['outcome'], answer_fields['retry']) == (
            'not-run',
            'no',
        )
    counts = bench.counters.counts
    assert counts[states.RetryReason.REFUSED_NOT_READY] == 8
    assert counts[states.RetryDenial.NO_OTHER_BACKEND] == 8


@pytest.mark.parametrize('failed', [False, True])
def test_refusal_after_lost_attempt_is_unknown(
    bench: ingress_bench.IngressBench,
    failed: bool,  # noqa: FBT001
) -> None:
    """Guards against ``not-run`` for a request that has run.

    The first attempt was lost or failed, and the retry was refused.
    """
    bench.request(1)
    first = ingress_bench.single(bench.take_calls())
    if failed:
        bench.router.post(
            messages.CallAnswered(
                call_id=first.request.call_id,
                status=500,
                headers=(),
                body=b'',
            ),
        )
    else:
        bench.lose(first.request.call_id)
    second = ingress_bench.single(bench.take_calls())
    bench.refuse(second.request.call_id, states.RefusalReason.LINK_FULL)
    answer_fields = bench.answer_fields()
    assert (answer_fields['status'], answer_fields['outcome']) == (
        '502',
        'unknown',
    )
    assert answer_fields['reason'] == 'link_full'


def test_refusal_after_shed_attempt_is_not_run(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against ``unknown`` for a request that was not run."""
    bench.request(1)
    first = ingress_bench.single(bench.take_calls())
    bench.refuse(first.request.call_id, states.RefusalReason.SHED)
    second = ingress_bench.single(bench.take_calls())
    bench.refuse(second.request.call_id, states.RefusalReason.LINK_FULL)
    answer_fields = bench.answer_fields()
    assert (answer_fields['status'], answer_fields['outcome']) == (
        '429',
        'not-run',
    )


def test_final_answer_is_not_retried_and_is_forwarded(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against retries at each hop of a chain of services."""
    call = bench.send(1)
    bench.refuse(
        call.request.call_id,
        states.RefusalReason.SHED,
        retry_allowed=False,
    )
    assert bench.answer_fields()['retry'] == 'no'
    assert not bench.take_calls()
    call = bench.send(2)
    bench.router.post(
        messages.CallAnswered(
            call_id=call.request.call_id,
            status=503,
            headers=(
                (b'medlarquay-retry', b'no'),
                (b'medlarquay-outcome', b'not-run'),
            ),
            body=b'',
        ),
    )
    answer_fields = bench.answer_fields()
    assert (answer_fields['retry'], answer_fields['outcome']) == ('no', 'run')


def test_deadline_at_owner_is_earlier_than_at_ingress(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against ``unknown`` where the owner would report ``not-run``.

    The ingress has to wait for the owner's result after the deadline.
    """
    call = bench.send(1, request_timeout_ms='500')
    assert call.request.deadline == pytest.approx(0.5)
    bench.clock.advance(0.51)
    assert not bench.take_answers()
    bench.refuse(call.request.call_id, states.RefusalReason.DEADLINE_PASSED)
    answer_fields = bench.answer_fields()
    assert (answer_fields['status'], answer_fields['outcome']) == (
        '503',
        'not-run',
    )


def test_remote_owner_gets_deadline_less_round_trip() -> None:
    """Guards against an answer in time at the owner, but late at the ingress.

    A link transmits the time that is left, so the deadline at an owner in
    another region is late by the latency of 30 ms, and the answer takes
    another 30 ms.
    """
    far = dataclasses.replace(
        ingress_bench.backend('c1'),
        region=ids.RegionName('south'),
    )
    call = ingress_bench.IngressBench(far).send(1, request_timeout_ms='500')
    assert call.request.deadline == pytest.approx(0.44)


def test_call_without_result_is_cancelled_and_unknown(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a caller that waits for a partitioned owner."""
    call = bench.send(1, request_timeout_ms='500')
    bench.clock.advance(0.61)
    answer_fields = bench.answer_fields()
    assert (answer_fields['status'], answer_fields['outcome']) == (
        '502',
        'unknown',
    )
    cancel = ingress_bench.single(bench.links.take())
    assert cancel == events.SendCancel(
        instance=call.instance,
        call_id=call.request.call_id,
        expired=True,
    )
    bench.answer(call.request.call_id)
    assert not bench.take_answers()


@pytest.mark.parametrize(
    ('fields', 'rank', 'deadline'),
    [
        ({}, states.Rank.NORMAL, 2),
        ({'request_timeout_ms': '9000'}, states.Rank.NORMAL, 2),
        ({'medlarquay_rank': 'urgent'}, states.Rank.NORMAL, 2),
        ({'medlarquay_rank': 'bulk'}, states.Rank.BULK, 2),
    ],
)
def test_requests_stay_within_the_limits_of_the_route(
    bench: ingress_bench.IngressBench,
    fields: dict[str, str],
    rank: states.Rank,
    deadline: float,
) -> None:
    """Guards against a caller that raises its own rank or deadline."""
    call = bench.send(1, **fields)
    assert call.request.rank is rank
    assert call.request.deadline == pytest.approx(deadline)


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'request_timeout_ms': '-1'}, 'malformed'),
        ({'request_timeout_ms': '9' * 5000}, 'malformed'),
        ({'request_timeout_ms': '0'}, 'deadline_passed'),
        ({'medlarquay_rank': 'first'}, 'malformed'),
        ({'idempotency_key': 'k' * 999}, 'key_invalid'),
        ({'idempotency_key': 'mq1.a'}, 'key_invalid'),
    ],
)
def test_invalid_header_fields_are_refused_before_sending(
    bench: ingress_bench.IngressBench,
    fields: dict[str, str],
    reason: str,
) -> None:
    """Guards against a request that runs with limits its caller did not set."""
    bench.request(1, b'POST', **fields)
    answer_fields = bench.answer_fields()
    assert (answer_fields['outcome'], answer_fields['reason']) == (
        'not-run',
        reason,
    )
    assert not bench.take_calls()


def test_call_of_disconnected_caller_is_cancelled(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against work for a caller that has disconnected."""
    call = bench.send(1)
    bench.router.post(events.CallerGone(caller=ids.CallerId(1)))
    cancel = ingress_bench.single(bench.links.take())
    assert (cancel.instance, cancel.call_id) == (
        call.instance,
        call.request.call_id,
    )
    bench.answer(call.request.call_id)
    assert not bench.take_answers()


def test_draining_backend_server_gets_no_new_calls(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against calls to a backend server that announced its drain."""
    bench.router.post(messages.Draining(instance=ids.InstanceId('a1')))
    for caller in range(20):
        assert bench.send(caller).instance == 'a2'


def test_draining_ingress_finishes_calls_and_refuses_new_ones(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against requests that are aborted by a planned stop."""
    call = bench.send(1)
    bench.router.post(events.DrainRequested())
    bench.request(2)
    refused = ingress_bench.single(bench.take_answers())
    assert (refused.status, refused.close) == (503, True)
    assert not bench.lifecycle.take()
    bench.answer(call.request.call_id, b'whole')
    answer = ingress_bench.single(bench.take_answers())
    assert (answer.body, answer.close) == (b'whole', True)
    finished = events.WorkFinished(part=states.NodePart.ROUTER)
    assert bench.lifecycle.take() == [finished]


def test_writes_and_refusals_are_recorded(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against an answer without a call record.

    Idempotent calls that a backend server answered need none.
    """
    bench.request(1)
    call = ingress_bench.single(bench.take_calls())
    bench.answer(call.request.call_id)
    assert not list(bench.records)
    call = bench.send(2, idempotency_key='order-1')
    bench.answer(call.request.call_id)
    bench.request(3, request_timeout_ms='0')
    recorded = [
        (record.outcome, record.status, record.request_key)
        for record in bench.records
    ]
    assert recorded == [
        (states.Outcome.RUN, 200, 'order-1'),
        (states.Outcome.NOT_RUN, 503, None),
    ]


def test_pause_clears_ejections(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against stale ejections after a pause of the process.

    The pause is detected by a late tick, also without any call.
    """
    for caller in range(8):
        bench.lose(bench.send(caller).request.call_id)
    assert bench.router.routing_state.observations.ejected_until > 0
    bench.router.post(events.Tick(now=5, lag_s=4))
    owners = bench.router.routing_state.observations.by_instance.values()
    assert not any(owner.ejected_until for owner in owners)


def test_bound_key_is_sent_to_its_owner_only(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a second run of a request with a key at another owner."""
    key = _key('a2', 'run1')
    for caller in range(9):
        call = bench.send(caller, idempotency_key=key)
        assert (call.instance, call.request.request_key) == ('a2', key)
    bench.refuse(
        call.request.call_id,
        states.RefusalReason.OWNER_UNREACHABLE,
    )
    assert not bench.take_calls()
    answer_fields = bench.answer_fields()
    assert answer_fields['reason'] == 'key_home_lost'
    assert answer_fields['earlier-attempts'] == 'unknown'


def test_bound_key_of_other_incarnation_is_refused(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a key accepted by an incarnation that did not issue it.

    The owner restarted, or is not known.
    """
    bench.router.post(
        events.PeerGreeted(
            instance=ids.InstanceId('a2'),
            incarnation=ids.Incarnation('run2'),
        ),
    )
    for caller, key in enumerate((_key('a2', 'run1'), _key('a9', 'run1'))):
        bench.request(caller, b'POST', idempotency_key=key)
        assert bench.answer_fields()['reason'] == 'key_home_lost'
    assert not bench.take_calls()


def test_all_ingresses_send_a_plain_key_to_one_home() -> None:
    """Guards against a second run of a request sent again through another node.

    All ingresses choose the same home, also while it drains or leaves.
    """
    order = (*_BACKENDS, ingress_bench.backend('b1'))
    leaving = ingress_bench.backend('a3', states.InstanceState.LEAVING)
    instances = [backend.instance for backend in (*order, leaving)]
    for number in range(20):
        key = ids.RequestKey(f'order-{number}')
        for backends in ((*order, leaving), (leaving, *reversed(order))):
            bench = ingress_bench.IngressBench(*backends)
            bench.router.post(messages.Draining(instance=order[0].instance))
            call = bench.send(1, idempotency_key=key)
            assert call.instance == keys.home_of(key, instances)
            bench.refuse(call.request.call_id, states.RefusalReason.DRAINING)
            assert not bench.take_calls()


def test_not_home_is_retried_only_with_a_newer_snapshot(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a plain key that is tried at one owner after another."""
    call = bench.send(1, idempotency_key='order-1')
    bench.refuse(call.request.call_id, states.RefusalReason.NOT_HOME)
    assert bench.answer_fields()['reason'] == 'not_home'
    call = bench.send(2, idempotency_key='order-1')
    bench.configure(*_BACKENDS)
    bench.refuse(call.request.call_id, states.RefusalReason.NOT_HOME)
    again = ingress_bench.single(bench.take_calls())
    bench.configure(*_BACKENDS)
    bench.refuse(again.request.call_id, states.RefusalReason.NOT_HOME)
    assert not bench.take_calls()
    assert bench.answer_fields()['earlier-attempts'] == 'unknown'


def _request_key(bench: ingress_bench.IngressBench, caller: int) -> None:
    bench.request(caller, b'POST', b'/.medlarquay/request-keys')


def test_new_key_waits_for_the_incarnation_of_its_owner(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a key without the incarnation of its owner."""
    _request_key(bench, 1)
    open_link = ingress_bench.single(bench.links.take())
    assert isinstance(open_link, events.OpenLink)
    assert not bench.take_answers()
    bench.router.post(
        events.PeerGreeted(
            instance=open_link.instance,
            incarnation=ids.Incarnation('run7'),
        ),
    )
    answer = ingress_bench.single(bench.take_answers())
    key = keys.parse_key(answer.body.decode())
    assert isinstance(key, keys.BoundKey)
    assert (key.instance, key.incarnation) == (open_link.instance, 'run7')


def test_new_key_is_refused_if_its_owner_does_not_respond(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a caller that waits for an unresponsive owner."""
    _request_key(bench, 1)
    bench.clock.advance(1.6)
    assert bench.answer_fields()['reason'] == 'owner_unreachable'


def test_new_key_falls_back_to_the_instance_of_the_ingress() -> None:
    """Guards against a refused key although the ingress's own node serves.

    The owner that was chosen first is unreachable.
    """
    bench = ingress_bench.IngressBench(*_BACKENDS, ingress_bench.backend('a0'))
    own_observations = bench.router.routing_state.observations.for_instance(
        ids.InstanceId('a0')
    )
    own_observations.in_flight = 9
    _request_key(bench, 1)
    open_link = ingress_bench.single(bench.links.take())
    bench.router.post(events.PeerLost(instance=open_link.instance))
    answer = ingress_bench.single(bench.take_answers())
    assert answer.body.startswith(b'mq1.a0.own.')


def test_requests_without_configuration_are_refused() -> None:
    """Guards against calls sent by a node that has no configuration."""
    bench = ingress_bench.IngressBench()
    bench.request(1)
    assert bench.answer_fields()['reason'] == 'no_configuration'


def test_partitioned_data_centre_costs_few_attempts() -> None:
    """Guards against failed requests that another data centre could run."""
    zones = ('b1', 'b2', 'c1', 'c2')
    bench = ingress_bench.IngressBench(*map(ingress_bench.backend, zones))
    refused = 0
    for caller in range(20):
        call = bench.send(caller)
        while call.instance.startswith('b'):
            refused += 1
            bench.refuse(
                call.request.call_id,
                states.RefusalReason.OWNER_UNREACHABLE,
            )
            call = ingress_bench.single(bench.take_calls())
        bench.answer(call.request.call_id)
        assert bench.answer_fields()['outcome'] == 'run'
    assert refused <= 2


def test_callers_are_served_until_the_time_to_refuse(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against refusals to callers that do not know of the stop yet."""
    bench.router.post(events.DrainRequested(refuse_at=2.3))
    sent = bench.send(1)
    bench.answer(sent.request.call_id, b'served')
    answer = ingress_bench.single(bench.take_answers())
    assert (answer.body, answer.close) == (b'served', True)
    assert not bench.lifecycle.take()
    bench.clock.advance(2.3)
    bench.request(2)
    refused = ingress_bench.single(bench.take_answers())
    assert (refused.status, refused.close) == (503, True)
    assert bench.lifecycle.take()


def test_refusals_have_a_spread_retry_after(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against callers that all retry at the same time."""
    bench.router.settings = ingress.IngressSettings(sends_retry_after=True)
    seconds = []
    for caller in range(1, 9):
        sent = bench.send(caller)
        for _ in range(9):
            bench.refuse(
                sent.request.call_id,
                states.RefusalReason.QUEUE_FULL,
            )
            again = bench.take_calls()
            if not again:
                break
            sent = again[0]
        seconds.append(bench.answer_fields()['retry-after'])
    assert len(set(seconds)) > 4
    # Long enough for a queue to make progress, within a third of the usual
    # timeouts.
    assert all(text in _RETRY_AFTER for text in seconds)


def test_retry_after_covers_the_wait_of_a_full_link(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against callers that retry before the link has room."""
    bench.router.settings = ingress.IngressSettings(sends_retry_after=True)
    load = messages.LoadState(
        slots=2,
        running=0,
        queued=4,
        service_time=0.1,
        link_wait=5,
    )
    seconds = []
    for caller in range(1, 9):
        sent = [bench.send(caller)]
        while sent:
            bench.router.post(
                messages.CallRefused(
                    call_id=sent[0].request.call_id,
                    reason=states.RefusalReason.LINK_FULL,
                    load=load,
                ),
            )
            sent = bench.take_calls()
        seconds.append(float(bench.answer_fields()['retry-after']))
    assert max(seconds) > 2
    assert max(seconds) < 6


def test_large_answer_of_another_node_is_not_reported_to_the_owner(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against an owner that counts bytes not sent on its call links."""
    sent = bench.send(1)
    bench.owner.take()
    bench.answer(sent.request.call_id, body=b'x' * 90_000)
    assert ingress_bench.single(bench.take_answers()).status == 200
    assert not bench.owner.take()


def _report_silent(
    bench: ingress_bench.IngressBench, node: ids.InstanceId
) -> None:
    bench.router.post(events.PeerSilent(instance=node))


def test_call_at_silent_owner_is_retried_at_another(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against callers that wait for a machine that lost power."""
    bench.request(1, b'GET')
    first = ingress_bench.single(bench.take_calls())
    _report_silent(bench, first.instance)
    cancel, second = bench.links.take()
    assert cancel == events.SendCancel(
        instance=first.instance,
        call_id=first.request.call_id,
    )
    assert second.instance != first.instance
    bench.answer(first.request.call_id, b'late')
    assert not bench.take_answers()
    bench.answer(second.request.call_id)
    assert bench.answer_fields()['outcome'] == 'run'
    dropped = states.DroppedMessage.NO_CALL_AT_INGRESS
    assert bench.counters.counts[dropped] == 1


@pytest.mark.parametrize('attempts', [1, 2])
def test_silent_owners_count_as_attempts(attempts: int) -> None:
    """Guards against one backend server more than the route allows.

    Each silent owner may have sent the call to its backend server, which goes
    on running it.
    """
    bench = ingress_bench.IngressBench(
        *(ingress_bench.backend(f'a{number}') for number in range(1, 5)),
        attempts=attempts,
    )
    bench.request(1, b'GET')
    for _ in range(attempts - 1):
        call = ingress_bench.single(bench.take_calls())
        _report_silent(bench, call.instance)
    last = ingress_bench.single(bench.take_calls())
    _report_silent(bench, last.instance)
    assert not bench.links.take()
    bench.answer(last.request.call_id)
    assert bench.answer_fields()['outcome'] == 'run'


def test_post_at_silent_owner_waits(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a POST request that runs twice, as its owner was slow."""
    call = bench.send(1)
    _report_silent(bench, call.instance)
    assert not bench.links.take()
    bench.answer(call.request.call_id)
    assert bench.answer_fields()['outcome'] == 'run'


def test_silent_owner_gets_no_calls_until_it_is_heard(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against repeated lost calls to a machine that lost power."""
    silent = bench.send(0).instance
    _report_silent(bench, silent)
    chosen = {bench.send(caller).instance for caller in range(1, 20)}
    assert silent not in chosen
    bench.router.post(events.PeerHeard(instance=silent))
    chosen = {bench.send(caller).instance for caller in range(20, 60)}
    assert silent in chosen


def test_expired_calls_eject_no_owner(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against the ejection of healthy owners whose results are late."""
    for caller in range(8):
        bench.send(caller, request_timeout_ms='500')
        bench.clock.advance(0.61)
    observations = bench.router.routing_state.observations
    assert not observations.ejected_until
    owners = observations.by_instance.values()
    assert not any(owner.in_flight for owner in owners)


def test_owner_learns_the_calling_service() -> None:
    """Guards against requests of different callers that look the same.

    The service of the ingress is the one that the list names, and a caller
    cannot claim another one.
    """
    own = ingress_bench.backend('a0', states.InstanceState.LEAVING)
    bench = ingress_bench.IngressBench(own, *_BACKENDS)
    bench.request(1, medlarquay_calling_service='other')
    call = ingress_bench.single(bench.take_calls())
    fields = [
        content
        for name, content in call.request.headers
        if name == b'medlarquay-calling-service'
    ]
    assert fields == [b'desk']
