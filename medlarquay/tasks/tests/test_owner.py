"""Tests of the outcomes that the owner task reports."""

import json
import pathlib

import pytest

from medlarquay import events, ids, messages, states, transport
from medlarquay.tasks.tests import owner_bench

_TRACES = pathlib.Path(__file__).parent / 'traces'
_SHED = ((b'medlarquay-shed', b'1'),)


def _greeting(instance: ids.InstanceId) -> events.PeerGreeted:
    return events.PeerGreeted(
        instance=instance,
        incarnation=ids.Incarnation('later'),
    )


@pytest.mark.parametrize(
    'name',
    ['approval_sent_again', 'pause_with_queued_work', 'backend_killed'],
)
def test_trace_has_its_expected_outcome(name: str) -> None:
    """Guards against second runs, starts past the deadline, wrong outcomes."""
    trace = json.loads((_TRACES / f'{name}.json').read_text())
    bench = owner_bench.replay(trace['steps'])
    outcomes = {str(number): text for number, text in bench.outcomes().items()}
    assert bench.started_paths() == trace['started']
    assert outcomes == trace['told']


def test_remaining_time_is_sent() -> None:
    """Guards against a timeout that restarts at the backend server."""
    bench = owner_bench.OwnerBench()
    bench.call(1, timeout=2.5)
    start = bench.backend.of_type(events.StartRequest)[0]
    assert start.headers == ((b'request-timeout-ms', b'2500'),)


def test_shed_is_not_run() -> None:
    """Guards against a shed request reported as run."""
    bench = owner_bench.OwnerBench()
    bench.call(1, key='bound')
    bench.answer(1, status=503, headers=_SHED)
    bench.call(2, key='bound')
    assert bench.outcomes() == {1: 'not-run shed'}
    assert len(bench.started_paths()) == 2
    assert bench.counters.counts[states.RefusalReason.SHED] == 1
    assert not list(bench.records)


def test_unsent_request_is_not_run() -> None:
    """Guards against an unknown outcome although nothing was sent."""
    bench = owner_bench.OwnerBench()
    bench.call(1)
    bench.fail(1, sent=False)
    assert bench.outcomes() == {1: 'not-run backend_down'}


def test_cancel_aborts_sent_requests_without_a_key() -> None:
    """Guards against a lost outcome of a keyed request after a cancellation."""
    bench = owner_bench.OwnerBench(slots=3)
    bench.call(1, key='bound')
    bench.call(2)
    bench.call(3, idempotent=True)
    bench.call(4)
    for number in (4, 1, 2, 3):
        bench.cancel(number)
    aborts = bench.backend.of_type(events.AbortRequest)
    assert [abort.exchange for abort in aborts] == [2, 3]
    assert len(bench.started_paths()) == 3


def test_closed_link_drops_queued_and_aborts_idempotent() -> None:
    """Guards against runs for a lost ingress, and against aborted writes.

    When a link closes, its queued requests are withdrawn and its idempotent
    ones aborted; non-idempotent requests finish.
    """
    bench = owner_bench.OwnerBench()
    bench.call(1)
    bench.call(2, idempotent=True)
    bench.call(3)
    bench.call(4, link=ids.LinkId(9), target='/other')
    bench.owner.post(events.LinkClosed(link=owner_bench.LINK))
    aborts = bench.backend.of_type(events.AbortRequest)
    assert [abort.exchange for abort in aborts] == [2]
    assert bench.started_paths()[2:] == ['/other']
    bench.answer(1)
    outcomes = [record.outcome for record in bench.records]
    assert outcomes == [states.Outcome.RUN]


def test_hung_request_is_unknown_to_its_caller() -> None:
    """Guards against a request that still runs being reported as not run."""
    bench = owner_bench.OwnerBench()
    bench.call(1, key='bound', timeout=3)
    bench.call(2, idempotent=True, timeout=3)
    bench.wait(4)
    expected = 'unknown deadline_passed'
    assert bench.outcomes() == {1: expected, 2: expected}
    aborts = bench.backend.of_type(events.AbortRequest)
    assert [abort.exchange for abort in aborts] == [2]
    bench.answer(1)
    bench.call(3, key='bound')
    assert bench.outcomes()[3] == 'replayed 200'


def test_drain_finishes_work_and_refuses_new() -> None:
    """Guards against aborted requests, and new ones started, while draining."""
    bench = owner_bench.OwnerBench()
    for number in (1, 2, 3):
        bench.call(number)
    bench.configure(states.InstanceState.LEAVING)
    bench.call(4)
    broadcasts = bench.links.of_type(events.BroadcastReply)
    draining = messages.Draining(instance=owner_bench.INSTANCE)
    assert [sent.message for sent in broadcasts] == [draining]
    assert bench.outcomes() == {4: 'not-run draining'}
    bench.answer(1)
    bench.answer(2)
    assert not bench.lifecycle.received
    bench.answer(3)
    assert bench.lifecycle.received == [
        events.WorkFinished(part=states.NodePart.OWNER),
    ]


def test_crash_is_announced_and_suspects_run_alone() -> None:
    """Guards against a poison request that crashes further backend servers.

    The owner notifies its peers of the crash, and runs the suspects one at a
    time until the poison one is known.
    """
    bench = owner_bench.OwnerBench(slots=3)
    bench.call(1, target='/poison')
    bench.call(2, target='/neighbour')
    bench.crash(1, 2)
    notices = bench.links.of_type(events.SendNotice)
    assert {notice.instance for notice in notices} == {
        owner_bench.PEER_INSTANCE
    }
    assert len(notices) == 2
    bench.recover()
    bench.call(3, target='/neighbour')
    bench.call(4, target='/poison')
    assert bench.started_paths()[2:] == ['/neighbour']
    bench.answer(3)
    assert bench.started_paths()[2:] == ['/neighbour', '/poison']
    bench.crash(4)
    bench.recover()
    bench.call(5, target='/poison')
    assert bench.outcomes()[5] == 'not-run quarantined'
    assert len(list(bench.records)) == 4
    cleared = bench.links.of_type(events.SendNotice)[2].message
    assert isinstance(cleared, messages.SuspicionCleared)


def test_other_callers_neither_clear_nor_share_a_quarantine() -> None:
    """Guards against a crashing request hidden behind another caller's.

    Both ask for the same path. The answers to the harmless caller counted as
    completions of the crashing request, so it was never quarantined.
    """
    bench = owner_bench.OwnerBench(slots=3)
    for number in (1, 2, 3):
        bench.call(number, target='/list', caller='desk')
        bench.answer(2 * number - 1)
        bench.call(10 + number, target='/list', caller='mail')
        if number < 3:
            bench.crash(2 * number)
            bench.recover()
    outcomes = bench.outcomes()
    assert outcomes[13] == 'not-run quarantined'
    assert {outcomes[number] for number in (1, 2, 3)} == {'run 200'}


def test_restarted_owner_learns_the_suspects_of_its_peers() -> None:
    """Guards against a quarantine that a restart of its owners forgets.

    Nodes that were restarted in turn sent a crashing request on again.
    """
    bench = owner_bench.OwnerBench()
    for number in (1, 2):
        bench.call(number, target='/poison')
        bench.crash(number)
        bench.recover()
    bench.links.received.clear()
    bench.owner.post(_greeting(owner_bench.PEER_INSTANCE))
    told = bench.links.of_type(events.SendNotice)
    assert {notice.instance for notice in told} == {owner_bench.PEER_INSTANCE}
    restarted = owner_bench.OwnerBench()
    opened = restarted.links.of_type(events.OpenLink)
    assert [link.instance for link in opened] == [owner_bench.PEER_INSTANCE]
    for notice in told:
        restarted.owner.post(notice.message)
    restarted.call(1, target='/poison')
    assert restarted.outcomes() == {1: 'not-run quarantined'}


def test_suspects_are_told_to_owners_of_the_service_only() -> None:
    """Guards against notices to each node that opens a link."""
    bench = owner_bench.OwnerBench()
    bench.call(1, target='/poison')
    bench.crash(1)
    bench.links.received.clear()
    bench.owner.post(_greeting(ids.InstanceId('stranger')))
    assert not bench.links.of_type(events.SendNotice)


def test_key_is_valid_from_any_caller() -> None:
    """Guards against a repeated keyed request that is told a conflict.

    It may arrive at the node of another service than the first time.
    """
    bench = owner_bench.OwnerBench()
    bench.call(1, key='bound', caller='desk')
    bench.answer(1)
    bench.call(2, key='bound', caller='mail')
    assert bench.outcomes() == {1: 'run 200', 2: 'replayed 200'}


def test_request_without_configuration_is_refused() -> None:
    """Guards against a request run on the wrong backend server."""
    bench = owner_bench.OwnerBench()
    bench.owner.local_instance = None
    bench.call(1)
    assert bench.outcomes() == {1: 'not-run no_configuration'}


def test_owner_resumes_after_a_backend_server_is_replaced() -> None:
    """Guards against a node that refuses all requests after a replacement.

    The replaced backend server is listed as leaving, and its successor runs on
    the machine of the same node.
    """
    bench = owner_bench.OwnerBench()
    bench.configure(states.InstanceState.LEAVING)
    bench.call(1)
    assert bench.outcomes() == {1: 'not-run draining'}
    bench.configure(states.InstanceState.LIVE)
    bench.call(2)
    assert bench.started_paths() == ['/approve/1']


def test_stopping_owner_refuses_requests_while_its_instance_is_live() -> None:
    """Guards against requests accepted while the process stops."""
    bench = owner_bench.OwnerBench()
    bench.owner.post(events.DrainRequested())
    bench.configure(states.InstanceState.LIVE)
    bench.call(1)
    assert bench.outcomes() == {1: 'not-run draining'}


def test_request_carries_the_expected_instance() -> None:
    """Guards against a run by a server that reuses the address of another."""
    bench = owner_bench.OwnerBench()
    bench.owner.local_backend.names = transport.HeaderNames(
        expected_instance=b'wanted',
    )
    bench.call(1)
    sent = bench.backend.of_type(events.StartRequest)[0]
    assert (b'wanted', owner_bench.INSTANCE.encode()) in sent.headers
    bench.answer(1, status=421)
    assert bench.outcomes() == {1: 'not-run backend_down'}


def test_request_is_refused_when_the_link_is_full() -> None:
    """Guards against requests whose answers then miss their deadline."""
    bench = _bench_with_slow_link()
    bench.call(1)
    bench.answer(1, body=b'x' * 90_000)
    # It runs while the first answer is being sent, so that the link is not
    # idle after it.
    bench.call(2)
    assert len(bench.started_paths()) == 2
    bench.call(3, timeout=1.5)
    assert bench.outcomes()[3] == 'not-run link_full'
    bench.call(4, timeout=5)
    assert 4 not in bench.outcomes()


def _bench_with_slow_link() -> owner_bench.OwnerBench:
    bench = owner_bench.OwnerBench()
    bench.owner.local_backend.link_bytes_per_s = 100_000
    bench.configure(states.InstanceState.LIVE)
    return bench


def test_local_answers_do_not_count_as_backlog() -> None:
    """Guards against refusals caused by answers that do not use the link."""
    local = ids.LinkId(0)
    bench = _bench_with_slow_link()
    for number in (1, 2):
        bench.call(number, link=local)
        bench.answer(number, body=b'x' * 90_000)
    bench.call(3, timeout=1.5)
    assert len(bench.started_paths()) == 3
    # A large answer is expected now, but it would not delay a local caller.
    bench.call(4, timeout=0.5, link=local)
    assert len(bench.started_paths()) == 4


def test_uplink_report_replaces_the_owner_estimate() -> None:
    """Guards against dropped and cancelled answers left in the backlog."""
    bench = _bench_with_slow_link()
    bench.call(1)
    bench.answer(1, body=b'x' * 90_000)
    bench.call(2, timeout=1.5)
    assert bench.outcomes()[2] == 'not-run link_full'
    bench.link_free_at(bench.clock.seconds())
    bench.call(3, timeout=1.5)
    assert 3 not in bench.outcomes()


def test_frames_of_other_tasks_count_as_backlog() -> None:
    """Guards against an owner that counts only its own answers."""
    bench = _bench_with_slow_link()
    bench.call(1)
    bench.answer(1, body=b'x' * 90_000)
    busy_until = bench.clock.seconds() + 3
    bench.link_free_at(busy_until)
    bench.wait(1.5)
    bench.call(2, timeout=1.5)
    assert bench.outcomes()[2] == 'not-run link_full'
