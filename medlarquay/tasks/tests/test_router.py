"""What callers are told by the router, whatever the owners do."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarquay import events, ids, ingress, keys, messages, states
from medlarquay.tasks.tests import ingress_bench

_PAIR = (ingress_bench.backend('a1'), ingress_bench.backend('a2'))
_RETURNS = frozenset(f'0.{hundredths}' for hundredths in range(15, 46))
_LATE = states.DroppedMessage.NO_CALL_AT_INGRESS


@pytest.fixture
def bench() -> ingress_bench.IngressBench:
    """Return a router with two backend servers on other nodes."""
    return ingress_bench.IngressBench(*_PAIR)


def _key(instance: str, incarnation: str) -> str:
    return keys.issue_key(
        instance=ids.InstanceId(instance),
        incarnation=ids.Incarnation(incarnation),
        issued_at=0,
    )


def test_answers_reach_only_their_own_callers(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against crossed, late and duplicated answers."""
    first, second = bench.send(1), bench.send(2)
    bench.answer(second.request.call_id, b'two')
    bench.answer(second.request.call_id, b'two')
    bench.answer(first.request.call_id, b'one')
    found = [(answer.caller, answer.body) for answer in bench.take_answers()]
    assert found == [(2, b'two'), (1, b'one')]
    assert bench.counters.counts[_LATE] == 1


def test_a_late_answer_of_an_earlier_attempt_is_dropped(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against two answers to one request after a retry."""
    bench.request(1)
    first = ingress_bench.only(bench.take_calls())
    bench.lose(first.request.call_id)
    second = ingress_bench.only(bench.take_calls())
    assert second.instance != first.instance
    bench.answer(first.request.call_id, b'late')
    assert not bench.take_answers()
    bench.answer(second.request.call_id, b'good')
    assert [answer.body for answer in bench.take_answers()] == [b'good']


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    results=st.lists(st.tuples(st.integers(1, 9), st.integers(0, 2))),
    gone=st.sets(st.integers(1, 4)),
)
def test_each_caller_is_told_once(
    results: list[tuple[int, int]],
    gone: set[int],
) -> None:
    """Guards against any order of results that mixes callers up."""
    bench = ingress_bench.IngressBench(*_PAIR)
    owners = {
        bench.send(caller).request.call_id: caller for caller in range(1, 5)
    }
    for caller in gone:
        bench.router.post(events.CallerGone(caller=ids.CallerId(caller)))
    told = []
    for number, kind in results:
        call_id = ids.CallId(number)
        if kind == 0:
            bench.answer(call_id, b'%d' % owners.get(call_id, 0))
        elif kind == 1:
            bench.lose(call_id)
        else:
            bench.refuse(call_id, states.RefusalReason.QUARANTINED)
        told.extend(bench.take_answers())
    callers = [answer.caller for answer in told]
    assert len(callers) == len(set(callers))
    assert not gone.intersection(callers)
    for answer in told:
        assert answer.body in {b'', b'%d' % answer.caller}


def test_a_post_lost_after_sending_is_unknown_and_not_retried(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against an approval that runs twice."""
    call = bench.send(1)
    bench.lose(call.request.call_id)
    assert not bench.take_calls()
    found = bench.answer_fields()
    assert (found['status'], found['outcome']) == ('502', 'unknown')
    assert found['reason'] == 'owner_lost'
    record = ingress_bench.only(bench.records)
    assert record.outcome is states.Outcome.UNKNOWN


def test_a_refused_post_is_retried_on_another_server(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a failed order although nothing had run."""
    reason = states.RefusalReason.NO_CONFIGURATION
    for caller in range(8):
        first = bench.send(caller)
        bench.refuse(first.request.call_id, reason)
        second = ingress_bench.only(bench.take_calls())
        assert second.instance != first.instance
        bench.refuse(second.request.call_id, reason)
        found = bench.answer_fields()
        assert (found['outcome'], found['retry']) == ('not-run', 'no')
    counts = bench.counters.counts
    assert counts[states.RetryReason.REFUSED_NOT_READY] == 8
    assert counts[states.RetryDenial.NO_OTHER_BACKEND] == 8


@pytest.mark.parametrize('failed', [False, True])
def test_a_refusal_after_a_lost_attempt_is_unknown(
    bench: ingress_bench.IngressBench,
    failed: bool,  # noqa: FBT001
) -> None:
    """Guards against a request that is told not run and has run."""
    bench.request(1)
    first = ingress_bench.only(bench.take_calls())
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
    second = ingress_bench.only(bench.take_calls())
    bench.refuse(second.request.call_id, states.RefusalReason.LINK_FULL)
    found = bench.answer_fields()
    assert (found['status'], found['outcome']) == ('502', 'unknown')
    assert found['reason'] == 'link_full'


def test_a_refusal_after_a_shed_attempt_is_not_run(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a refused request whose caller is left in doubt."""
    bench.request(1)
    first = ingress_bench.only(bench.take_calls())
    bench.refuse(first.request.call_id, states.RefusalReason.SHED)
    second = ingress_bench.only(bench.take_calls())
    bench.refuse(second.request.call_id, states.RefusalReason.LINK_FULL)
    found = bench.answer_fields()
    assert (found['status'], found['outcome']) == ('429', 'not-run')


def test_a_final_answer_is_obeyed_and_passed_on(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against retries at each hop of a chain."""
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
    found = bench.answer_fields()
    assert (found['retry'], found['outcome']) == ('no', 'run')


def test_the_owner_deadline_comes_before_that_of_the_ingress(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against unknown told where the owner would prove not run."""
    call = bench.send(1, request_timeout_ms='500')
    assert call.request.deadline == pytest.approx(0.5)
    bench.clock.advance(0.51)
    assert not bench.take_answers()
    bench.refuse(call.request.call_id, states.RefusalReason.DEADLINE_PASSED)
    found = bench.answer_fields()
    assert (found['status'], found['outcome']) == ('503', 'not-run')


def test_an_owner_far_away_gets_the_time_without_the_way() -> None:
    """Guards against an answer that is in time for its owner only.

    A link carries the time that is left, so an owner in another region adds
    the 30 ms of the way there, and the answer takes 30 ms more.
    """
    far = dataclasses.replace(
        ingress_bench.backend('c1'),
        region=ids.RegionName('south'),
    )
    call = ingress_bench.IngressBench(far).send(1, request_timeout_ms='500')
    assert call.request.deadline == pytest.approx(0.44)


def test_a_silent_owner_is_cancelled_and_told_as_unknown(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a caller that hangs on a partitioned owner."""
    call = bench.send(1, request_timeout_ms='500')
    bench.clock.advance(0.61)
    found = bench.answer_fields()
    assert (found['status'], found['outcome']) == ('502', 'unknown')
    cancel = ingress_bench.only(bench.links.take())
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
def test_bad_fields_are_refused_before_sending(
    bench: ingress_bench.IngressBench,
    fields: dict[str, str],
    reason: str,
) -> None:
    """Guards against a request run with limits its caller did not mean."""
    bench.request(1, b'POST', **fields)
    found = bench.answer_fields()
    assert (found['outcome'], found['reason']) == ('not-run', reason)
    assert not bench.take_calls()


def test_a_caller_that_closes_is_cancelled_at_the_owner(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against work for a caller that has gone."""
    call = bench.send(1)
    bench.router.post(events.CallerGone(caller=ids.CallerId(1)))
    cancel = ingress_bench.only(bench.links.take())
    assert (cancel.instance, cancel.call_id) == (
        call.instance,
        call.request.call_id,
    )
    bench.answer(call.request.call_id)
    assert not bench.take_answers()


def test_a_drained_server_gets_no_new_work(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against work sent to a backend server that announced leaving."""
    bench.router.post(messages.Draining(instance=ids.InstanceId('a1')))
    for caller in range(20):
        assert bench.send(caller).instance == 'a2'


def test_a_draining_ingress_finishes_and_refuses(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against requests aborted by a planned stop."""
    call = bench.send(1)
    bench.router.post(events.DrainRequested())
    bench.request(2)
    refused = ingress_bench.only(bench.take_answers())
    assert (refused.status, refused.close) == (503, True)
    assert not bench.lifecycle.take()
    bench.answer(call.request.call_id, b'whole')
    answer = ingress_bench.only(bench.take_answers())
    assert (answer.body, answer.close) == (b'whole', True)
    finished = events.WorkFinished(part=states.NodePart.ROUTER)
    assert bench.lifecycle.take() == [finished]


def test_only_writes_and_answers_of_the_system_are_recorded(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a record that misses what a caller was told."""
    bench.request(1)
    call = ingress_bench.only(bench.take_calls())
    bench.answer(call.request.call_id)
    assert not list(bench.records)
    call = bench.send(2, idempotency_key='order-1')
    bench.answer(call.request.call_id)
    bench.request(3, request_timeout_ms='0')
    found = [
        (record.outcome, record.status, record.request_key)
        for record in bench.records
    ]
    assert found == [
        (states.Outcome.RUN, 200, 'order-1'),
        (states.Outcome.NOT_RUN, 503, None),
    ]


def test_a_pause_leaves_no_stale_ejection(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against observations kept over a pause without any call."""
    for caller in range(8):
        bench.lose(bench.send(caller).request.call_id)
    assert bench.router.routing_state.observations.ejected_until > 0
    bench.router.post(events.Tick(now=5, lag_s=4))
    seen = bench.router.routing_state.observations.by_instance.values()
    assert not any(found.ejected_until for found in seen)


def test_a_bound_key_goes_to_its_owner_or_nowhere(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a second run of a keyed order elsewhere."""
    key = _key('a2', 'run1')
    for caller in range(9):
        call = bench.send(caller, idempotency_key=key)
        assert (call.instance, call.request.request_key) == ('a2', key)
    bench.refuse(
        call.request.call_id,
        states.RefusalReason.OWNER_UNREACHABLE,
    )
    assert not bench.take_calls()
    found = bench.answer_fields()
    assert found['reason'] == 'key_home_lost'
    assert found['earlier-attempts'] == 'unknown'


def test_a_bound_key_of_a_lost_run_is_refused(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a key accepted by a run that never issued it."""
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
    """Guards against a key sent again through another node."""
    order = (*_PAIR, ingress_bench.backend('b1'))
    leaving = ingress_bench.backend('a3', states.InstanceState.LEAVING)
    known = [backend.instance for backend in (*order, leaving)]
    for number in range(20):
        key = ids.RequestKey(f'order-{number}')
        for backends in ((*order, leaving), (leaving, *reversed(order))):
            bench = ingress_bench.IngressBench(*backends)
            bench.router.post(messages.Draining(instance=order[0].instance))
            call = bench.send(1, idempotency_key=key)
            assert call.instance == keys.home_of(key, known)
            bench.refuse(call.request.call_id, states.RefusalReason.DRAINING)
            assert not bench.take_calls()


def test_not_home_is_sent_again_only_after_a_newer_snapshot(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a plain key that is tried on one server after another."""
    call = bench.send(1, idempotency_key='order-1')
    bench.refuse(call.request.call_id, states.RefusalReason.NOT_HOME)
    assert bench.answer_fields()['reason'] == 'not_home'
    call = bench.send(2, idempotency_key='order-1')
    bench.configure(*_PAIR)
    bench.refuse(call.request.call_id, states.RefusalReason.NOT_HOME)
    again = ingress_bench.only(bench.take_calls())
    bench.configure(*_PAIR)
    bench.refuse(again.request.call_id, states.RefusalReason.NOT_HOME)
    assert not bench.take_calls()
    assert bench.answer_fields()['earlier-attempts'] == 'unknown'


def _ask_for_key(bench: ingress_bench.IngressBench, caller: int) -> None:
    bench.request(caller, b'POST', b'/.medlarquay/request-keys')


def test_a_key_waits_for_the_run_of_its_owner(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a key that names no run."""
    _ask_for_key(bench, 1)
    opened = ingress_bench.only(bench.links.take())
    assert isinstance(opened, events.OpenLink)
    assert not bench.take_answers()
    bench.router.post(
        events.PeerGreeted(
            instance=opened.instance,
            incarnation=ids.Incarnation('run7'),
        ),
    )
    answer = ingress_bench.only(bench.take_answers())
    key = keys.parse_key(answer.body.decode())
    assert isinstance(key, keys.BoundKey)
    assert (key.instance, key.incarnation) == (opened.instance, 'run7')


def test_a_key_is_refused_when_its_owner_stays_silent(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a caller that waits for a hung owner."""
    _ask_for_key(bench, 1)
    bench.clock.advance(1.6)
    assert bench.answer_fields()['reason'] == 'owner_unreachable'


def test_a_key_for_an_unreachable_owner_is_bound_to_the_own_node() -> None:
    """Guards against a caller without a key while its own node serves."""
    bench = ingress_bench.IngressBench(*_PAIR, ingress_bench.backend('a0'))
    own = bench.router.routing_state.observations.for_instance(
        ids.InstanceId('a0')
    )
    own.in_flight = 9
    _ask_for_key(bench, 1)
    opened = ingress_bench.only(bench.links.take())
    bench.router.post(events.PeerLost(instance=opened.instance))
    answer = ingress_bench.only(bench.take_answers())
    assert answer.body.startswith(b'mq1.a0.own.')


def test_without_configuration_nothing_is_sent() -> None:
    """Guards against calls routed by a node that knows no routes."""
    bench = ingress_bench.IngressBench()
    bench.request(1)
    assert bench.answer_fields()['reason'] == 'no_configuration'


def test_a_partitioned_data_centre_costs_few_attempts() -> None:
    """Guards against orders that fail while other data centres can run them."""
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
            call = ingress_bench.only(bench.take_calls())
        bench.answer(call.request.call_id)
        assert bench.answer_fields()['outcome'] == 'run'
    assert refused <= 2


def test_callers_are_served_until_they_know_of_the_stop(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against refusals to callers that were not told yet."""
    bench.router.post(events.DrainRequested(refuse_at=2.3))
    sent = bench.send(1)
    bench.answer(sent.request.call_id, b'served')
    answer = ingress_bench.only(bench.take_answers())
    assert (answer.body, answer.close) == (b'served', True)
    assert not bench.lifecycle.take()
    bench.clock.advance(2.3)
    bench.request(2)
    refused = ingress_bench.only(bench.take_answers())
    assert (refused.status, refused.close) == (503, True)
    assert bench.lifecycle.take()


def test_refusals_say_when_to_come_back(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against callers that all come back at once."""
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
    # Long enough for a queue to move on, within a third of the usual limits.
    assert all(text in _RETURNS for text in seconds)


def test_callers_return_while_what_waits_for_the_link_leaves(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against callers that are back before the link has room."""
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


def test_a_large_answer_of_another_node_leaves_the_owner_alone(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against owners that count bytes which no call link carries."""
    sent = bench.send(1)
    bench.owner.take()
    bench.answer(sent.request.call_id, body=b'x' * 90_000)
    assert ingress_bench.only(bench.take_answers()).status == 200
    assert not bench.owner.take()


def _silent(bench: ingress_bench.IngressBench, node: ids.InstanceId) -> None:
    bench.router.post(events.PeerSilent(instance=node))


def test_a_call_at_a_silent_owner_is_sent_to_another(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against callers that wait for a machine without power."""
    bench.request(1, b'GET')
    first = ingress_bench.only(bench.take_calls())
    _silent(bench, first.instance)
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
    denied = states.DroppedMessage.NO_CALL_AT_INGRESS
    assert bench.counters.counts[denied] == 1


def test_a_post_at_a_silent_owner_waits(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against a post that runs twice because its owner was slow."""
    call = bench.send(1)
    _silent(bench, call.instance)
    assert not bench.links.take()
    bench.answer(call.request.call_id)
    assert bench.answer_fields()['outcome'] == 'run'


def test_a_silent_owner_is_passed_over_until_it_is_heard(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against one lost call after another at a machine without power."""
    silent = bench.send(0).instance
    _silent(bench, silent)
    chosen = {bench.send(caller).instance for caller in range(1, 20)}
    assert silent not in chosen
    bench.router.post(events.PeerHeard(instance=silent))
    chosen = {bench.send(caller).instance for caller in range(20, 60)}
    assert silent in chosen


def test_calls_that_expire_eject_no_owner_that_is_heard(
    bench: ingress_bench.IngressBench,
) -> None:
    """Guards against healthy owners passed over for a late word of theirs."""
    for caller in range(8):
        bench.send(caller, request_timeout_ms='500')
        bench.clock.advance(0.61)
    observations = bench.router.routing_state.observations
    assert not observations.ejected_until
    seen = observations.by_instance.values()
    assert not any(found.in_flight for found in seen)
