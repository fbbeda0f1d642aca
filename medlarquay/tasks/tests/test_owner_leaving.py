"""Tests of requests that wait for a backend server when it leaves."""

import pytest

from medlarquay import events, states
from medlarquay.tasks.tests import owner_bench

_SERVICE_S = 0.5
_LEAVING_S = 2
# The source confirmed the list this long before it said leaving.
_CONFIRMED_AGO_S = 0.5
_CALLS = 12


class _Bench(owner_bench.OwnerBench):
    """An owner whose backend server answers each request after half a second."""

    def __init__(self) -> None:
        super().__init__(slots=1)
        self.owner.local_backend.leaving_s = _LEAVING_S
        self.start_times: list[float] = []

    def confirm(self) -> None:
        """Post that the source confirms the instance list."""
        now = self.clock.seconds()
        self.owner.post(
            events.FreshnessConfirmed(confirmed_at=now, list_confirmed_at=now)
        )

    def serve(self, seconds: float) -> None:
        """Let the backend server answer what it is sent, for some time."""
        for _ in range(round(seconds / _SERVICE_S)):
            started = len(self.started_paths())
            known = len(self.start_times)
            self.start_times.extend(
                [self.clock.seconds()] * (started - known),
            )
            self.clock.advance(_SERVICE_S)
            starts = self.backend.of_type(events.StartRequest)
            for start in starts[known:started]:
                self.answer(start.exchange)

    def late_starts(self, left_at: float) -> list[float]:
        """Return the starts at or after the end of the time for leaving."""
        return [
            started_at
            for started_at in self.start_times
            if started_at >= left_at + _LEAVING_S
        ]


@pytest.fixture
def bench() -> _Bench:
    """Return an owner with a service time, a confirmed list and a queue."""
    owner = _Bench()
    owner.call(1)
    owner.serve(1)
    owner.confirm()
    owner.clock.advance(_CONFIRMED_AGO_S)
    for number in range(2, 2 + _CALLS):
        owner.call(number, timeout=30)
    return owner


def _refused(bench: _Bench) -> list[int]:
    return [
        number
        for number, outcome in bench.outcomes().items()
        if outcome == 'not-run draining'
    ]


def test_queued_requests_leave_with_their_backend_server(
    bench: _Bench,
) -> None:
    """Guards against requests sent to a backend server until it exits.

    Those that waited were sent to it later than its time for leaving, and the
    last ones were lost when it exited.
    """
    left_at = bench.clock.seconds()
    bench.configure(states.InstanceState.LEAVING)
    # Those that it cannot start in time are told at once.
    early = _refused(bench)
    assert len(early) == pytest.approx(_CALLS - 4, abs=1)
    bench.serve(10)
    assert not bench.late_starts(left_at - _CONFIRMED_AGO_S)
    outcomes = bench.outcomes()
    assert len(outcomes) == _CALLS + 1
    assert set(outcomes.values()) == {'run 200', 'not-run draining'}


def test_slow_backend_server_gets_nothing_after_its_time(
    bench: _Bench,
) -> None:
    """Guards against a request that starts because a slot was freed late."""
    bench.configure(states.InstanceState.LEAVING)
    bench.clock.advance(_LEAVING_S)
    started = len(bench.started_paths())
    bench.answer(bench.backend.of_type(events.StartRequest)[-1].exchange)
    bench.wait(1)
    assert len(bench.started_paths()) == started
    assert len(_refused(bench)) == _CALLS - 1


def test_paused_owner_sends_nothing_after_its_time(bench: _Bench) -> None:
    """Guards against a queue that is sent on when a paused node wakes."""
    bench.configure(states.InstanceState.LEAVING)
    started = len(bench.started_paths())
    bench.pause(_LEAVING_S + 1)
    bench.wait(1)
    assert len(bench.started_paths()) == started


def test_late_news_of_a_departure_ends_the_queue_at_once(
    bench: _Bench,
) -> None:
    """Guards against a full time for leaving that starts with late news."""
    bench.clock.advance(_LEAVING_S)
    started = len(bench.started_paths())
    bench.configure(states.InstanceState.LEAVING)
    assert len(_refused(bench)) == _CALLS - 1
    bench.answer(bench.backend.of_type(events.StartRequest)[-1].exchange)
    assert len(bench.started_paths()) == started


def test_entry_that_vanishes_counts_as_a_departure(bench: _Bench) -> None:
    """Guards against a backend server that leaves without saying so.

    Its entry is removed, and the source confirms that it has none.
    """
    left_at = bench.clock.seconds()
    bench.unlist()
    assert not _refused(bench)
    bench.confirm()
    bench.owner.post(events.LocalBackendRemoved(instance=owner_bench.INSTANCE))
    assert bench.owner.draining
    bench.serve(10)
    assert not bench.late_starts(left_at - _CONFIRMED_AGO_S)


def test_entry_that_lapses_takes_nothing_away(bench: _Bench) -> None:
    """Guards against work given up because a machine was only silent."""
    bench.unlist()
    bench.serve(1)
    bench.configure(states.InstanceState.LIVE)
    bench.owner.post(events.LocalBackendRemoved(instance=owner_bench.INSTANCE))
    assert not bench.owner.draining
    bench.serve(10)
    assert set(bench.outcomes().values()) == {'run 200'}


def test_held_suspects_leave_too() -> None:
    """Guards against a held suspect that runs long after the departure."""
    bench = _Bench()
    bench.owner.local_backend.leaving_s = _LEAVING_S
    bench.call(1, target='/a', timeout=30)
    bench.slots = 3
    bench.configure(states.InstanceState.LIVE)
    bench.call(2, target='/b', timeout=30)
    bench.crash(1, 2)
    bench.recover()
    bench.call(3, target='/a', timeout=30)
    bench.call(4, target='/b', timeout=30)
    bench.confirm()
    bench.configure(states.InstanceState.LEAVING)
    bench.wait(_LEAVING_S + 1)
    assert bench.outcomes()[4] == 'not-run draining'


def test_returned_backend_server_is_sent_requests_again(
    bench: _Bench,
) -> None:
    """Guards against an owner that stays closed after a replacement."""
    bench.configure(states.InstanceState.LEAVING)
    bench.wait(_LEAVING_S + 1)
    bench.answer(bench.backend.of_type(events.StartRequest)[-1].exchange)
    bench.configure(states.InstanceState.LIVE)
    bench.call(99)
    started = bench.backend.of_type(events.StartRequest)[-1].exchange
    bench.answer(started)
    assert bench.outcomes()[99] == 'run 200'
