"""The owner task against stated outcomes."""

import json
import pathlib

import pytest

from medlarquay import events, ids, messages, states, transport
from medlarquay.tasks.tests import owner_bench

_TRACES = pathlib.Path(__file__).parent / 'traces'
_SHED = ((b'medlarquay-shed', b'1'),)


@pytest.mark.parametrize(
    'name',
    ['approval_sent_again', 'pause_with_queued_work', 'backend_killed'],
)
def test_trace_has_its_stated_outcome(name: str) -> None:
    """Guards against a second run, a stale start and a wrong outcome."""
    trace = json.loads((_TRACES / f'{name}.json').read_text())
    bench = owner_bench.play(trace['steps'])
    told = {str(number): text for number, text in bench.told().items()}
    assert bench.started() == trace['started']
    assert told == trace['told']


def test_remaining_time_is_sent() -> None:
    """Guards against a deadline that starts anew at the backend server."""
    bench = owner_bench.OwnerBench()
    bench.call(1, timeout=2.5)
    start = bench.backend.of_type(events.StartRequest)[0]
    assert start.headers == ((b'request-timeout-ms', b'2500'),)


def test_shed_is_not_run() -> None:
    """Guards against a shed request that is taken for a run."""
    bench = owner_bench.OwnerBench()
    bench.call(1, key='bound')
    bench.answer(1, status=503, headers=_SHED)
    bench.call(2, key='bound')
    assert bench.told() == {1: 'not-run shed'}
    assert len(bench.started()) == 2
    assert bench.counters.counts[states.RefusalReason.SHED] == 1
    assert not list(bench.records)


def test_unsent_request_is_not_run() -> None:
    """Guards against an unknown outcome when nothing was sent."""
    bench = owner_bench.OwnerBench()
    bench.call(1)
    bench.fail(1, sent=False)
    assert bench.told() == {1: 'not-run backend_down'}


def test_cancel_aborts_only_what_needs_no_outcome() -> None:
    """Guards against losing the outcome of a keyed request."""
    bench = owner_bench.OwnerBench(slots=3)
    bench.call(1, key='bound')
    bench.call(2)
    bench.call(3, idempotent=True)
    bench.call(4)
    for number in (4, 1, 2, 3):
        bench.cancel(number)
    aborts = bench.backend.of_type(events.AbortRequest)
    assert [abort.exchange for abort in aborts] == [2, 3]
    assert len(bench.started()) == 3


def test_closed_link_drops_queued_and_aborts_idempotent() -> None:
    """Guards against work for an ingress that is gone, and lost writes."""
    bench = owner_bench.OwnerBench()
    bench.call(1)
    bench.call(2, idempotent=True)
    bench.call(3)
    bench.call(4, link=ids.LinkId(9), target='/other')
    bench.owner.post(events.LinkClosed(link=owner_bench.LINK))
    aborts = bench.backend.of_type(events.AbortRequest)
    assert [abort.exchange for abort in aborts] == [2]
    assert bench.started()[2:] == ['/other']
    bench.answer(1)
    outcomes = [record.outcome for record in bench.records]
    assert outcomes == [states.Outcome.RUN]


def test_hung_request_is_unknown_to_its_caller() -> None:
    """Guards against not run said of a request that still runs."""
    bench = owner_bench.OwnerBench()
    bench.call(1, key='bound', timeout=3)
    bench.call(2, idempotent=True, timeout=3)
    bench.wait(4)
    expected = 'unknown deadline_passed'
    assert bench.told() == {1: expected, 2: expected}
    aborts = bench.backend.of_type(events.AbortRequest)
    assert [abort.exchange for abort in aborts] == [2]
    bench.answer(1)
    bench.call(3, key='bound')
    assert bench.told()[3] == 'replayed 200'


def test_drain_finishes_work_and_refuses_new() -> None:
    """Guards against aborted work at a stop, and against a late start."""
    bench = owner_bench.OwnerBench()
    for number in (1, 2, 3):
        bench.call(number)
    bench.configure(states.InstanceState.LEAVING)
    bench.call(4)
    broadcasts = bench.links.of_type(events.BroadcastReply)
    draining = messages.Draining(instance=owner_bench.OWN)
    assert [sent.message for sent in broadcasts] == [draining]
    assert bench.told() == {4: 'not-run draining'}
    bench.answer(1)
    bench.answer(2)
    assert not bench.lifecycle.seen
    bench.answer(3)
    assert bench.lifecycle.seen == [
        events.WorkFinished(part=states.NodePart.OWNER),
    ]


def test_crash_is_announced_and_suspects_run_alone() -> None:
    """Guards against a poison request that runs on before it is known."""
    bench = owner_bench.OwnerBench(slots=3)
    bench.call(1, target='/poison')
    bench.call(2, target='/neighbour')
    bench.crash(1, 2)
    notices = bench.links.of_type(events.SendNotice)
    assert {notice.instance for notice in notices} == {owner_bench.PEER}
    assert len(notices) == 2
    bench.recover()
    bench.call(3, target='/neighbour')
    bench.call(4, target='/poison')
    assert bench.started()[2:] == ['/neighbour']
    bench.answer(3)
    assert bench.started()[2:] == ['/neighbour', '/poison']
    bench.crash(4)
    bench.recover()
    bench.call(5, target='/poison')
    assert bench.told()[5] == 'not-run quarantined'
    assert len(list(bench.records)) == 4
    cleared = bench.links.of_type(events.SendNotice)[2].message
    assert isinstance(cleared, messages.SuspicionCleared)


def test_work_of_another_service_is_refused() -> None:
    """Guards against running a request on the wrong backend server."""
    bench = owner_bench.OwnerBench()
    bench.owner.local_instance = None
    bench.call(1)
    assert bench.told() == {1: 'not-run no_configuration'}


def test_an_owner_takes_work_again_beside_a_new_backend_server() -> None:
    """Guards against a node that refuses all work after a replacement."""
    bench = owner_bench.OwnerBench()
    bench.configure(states.InstanceState.LEAVING)
    bench.call(1)
    assert bench.told() == {1: 'not-run draining'}
    bench.configure(states.InstanceState.LIVE)
    bench.call(2)
    assert bench.started() == ['/approve/1']


def test_a_stopping_owner_refuses_also_beside_a_live_backend_server() -> None:
    """Guards against work that a process takes while it ends."""
    bench = owner_bench.OwnerBench()
    bench.owner.post(events.DrainRequested())
    bench.configure(states.InstanceState.LIVE)
    bench.call(1)
    assert bench.told() == {1: 'not-run draining'}


def test_a_request_names_the_run_that_may_take_it() -> None:
    """Guards against a run by a server that got the address of another."""
    bench = owner_bench.OwnerBench()
    bench.owner.local_backend.names = transport.HeaderNames(
        expected_instance=b'wanted',
    )
    bench.call(1)
    sent = bench.backend.of_type(events.StartRequest)[0]
    assert (b'wanted', owner_bench.OWN.encode()) in sent.headers
    bench.answer(1, status=421)
    assert bench.told() == {1: 'not-run backend_down'}


def test_a_large_answer_is_refused_when_the_link_is_full() -> None:
    """Guards against answers that are accepted and then late on the link."""
    bench = _with_a_link()
    bench.call(1)
    bench.answer(1, body=b'x' * 90_000)
    # It runs while the first answer leaves, so the link is not idle after it.
    bench.call(2)
    assert len(bench.started()) == 2
    bench.call(3, timeout=1.5)
    assert bench.told()[3] == 'not-run link_full'
    bench.call(4, timeout=5)
    assert 4 not in bench.told()


def _with_a_link() -> owner_bench.OwnerBench:
    bench = owner_bench.OwnerBench()
    bench.owner.local_backend.link_bytes_per_s = 100_000
    bench.configure(states.InstanceState.LIVE)
    return bench


def test_answers_for_local_callers_leave_the_link_free() -> None:
    """Guards against refusals for answers that never use the link."""
    local = ids.LinkId(0)
    bench = _with_a_link()
    for number in (1, 2):
        bench.call(number, link=local)
        bench.answer(number, body=b'x' * 90_000)
    bench.call(3, timeout=1.5)
    assert len(bench.started()) == 3
    # A large answer is expected now, which a local caller need not await.
    bench.call(4, timeout=0.5, link=local)
    assert len(bench.started()) == 4


def test_the_uplink_says_what_waits_for_the_link() -> None:
    """Guards against dropped and cancelled answers that stay counted."""
    bench = _with_a_link()
    bench.call(1)
    bench.answer(1, body=b'x' * 90_000)
    bench.call(2, timeout=1.5)
    assert bench.told()[2] == 'not-run link_full'
    bench.link_free_at(bench.clock.seconds())
    bench.call(3, timeout=1.5)
    assert 3 not in bench.told()


def test_frames_of_other_tasks_take_room_on_the_link() -> None:
    """Guards against an owner that counts its own answers only."""
    bench = _with_a_link()
    bench.call(1)
    bench.answer(1, body=b'x' * 90_000)
    busy_until = bench.clock.seconds() + 3
    bench.link_free_at(busy_until)
    bench.wait(1.5)
    bench.call(2, timeout=1.5)
    assert bench.told()[2] == 'not-run link_full'
