"""Order and timing of large frames on the link."""

import math

import pytest

from medlarquay import ids, pacing, states

_RATE = 437_500.0
_FRAGMENT = pacing.fragment_bytes(_RATE)
_NOW = 100.0
_SMALL_FRAMES_S = 0.1
_MIN_UTILISATION = 0.85


class _Bench:
    """A schedule with a simulated clock."""

    def __init__(self, *, bytes_per_s: float = _RATE) -> None:
        self.now = _NOW
        self.schedule = pacing.Schedule(bytes_per_s=bytes_per_s)

    def add(
        self,
        number: int,
        *,
        fragments: int = 2,
        link: int | None = None,
        **urgency: object,
    ) -> None:
        """Add a frame, on a separate link if none is given."""
        self.schedule.add(
            pacing.LargeFrame(
                link=ids.LinkId(number if link is None else link),
                call_id=ids.CallId(number),
                stream=ids.StreamId(number),
                content=bytes(_FRAGMENT * fragments),
                urgency=pacing.Urgency(**urgency),
            ),
        )

    def step(self) -> pacing.Step:
        """Advance the clock to the next step other than a finite wait."""
        while True:
            step = self.schedule.next_step(self.now)
            if not isinstance(step, pacing.Wait) or step.until == math.inf:
                return step
            assert step.until > self.now
            self.now = step.until

    def send(self, count: int = 99) -> list[int]:
        """Send fragments; return the call id of each."""
        sent = []
        while len(sent) < count:
            step = self.step()
            if not isinstance(step, pacing.SendFragment):
                break
            self.schedule.take_fragment(step.frame, self.now)
            sent.append(step.frame.call_id)
        return sent

    def free_at(self, rank: states.Rank = states.Rank.NORMAL) -> float:
        """Return when the frames up to a rank will have left."""
        return self.schedule.free_at(self.now)[rank]


@pytest.fixture
def bench() -> _Bench:
    """Return a bench with an empty schedule."""
    return _Bench()


def test_frames_are_sent_one_at_a_time_by_due_time(bench: _Bench) -> None:
    """Guards against frames that share the link and all arrive late."""
    bench.add(1, due=_NOW + 9)
    bench.add(2, due=_NOW + 3)
    bench.add(3)
    assert bench.send() == [2, 2, 1, 1, 3, 3]


def test_a_started_frame_is_finished_first(bench: _Bench) -> None:
    """Guards against receivers that hold many partly received frames."""
    bench.add(1, due=_NOW + 9)
    sent = bench.send(1)
    bench.add(2, due=_NOW + 3)
    assert [*sent, *bench.send()] == [1, 1, 2, 2]


def test_an_urgent_frame_overtakes_a_started_one(bench: _Bench) -> None:
    """Guards against an urgent answer that waits behind a bulk bundle."""
    bench.add(1, rank=states.Rank.BULK)
    sent = bench.send(1)
    bench.add(2, rank=states.Rank.URGENT)
    bench.add(3)
    assert [*sent, *bench.send()] == [1, 2, 2, 3, 3, 1]


def test_late_frame_is_sent_after_those_on_time(bench: _Bench) -> None:
    """Guards against an overload in which each frame is just too late."""
    bench.add(1, fragments=9, due=_NOW + 0.01)
    bench.add(2, due=_NOW + 3)
    assert bench.send() == [2, 2] + 9 * [1]


@pytest.mark.parametrize('bytes_per_s', [_RATE, math.inf])
def test_a_frame_past_its_deadline_is_dropped(bytes_per_s: float) -> None:
    """Guards against link capacity spent on frames past their deadline."""
    bench = _Bench(bytes_per_s=bytes_per_s)
    bench.add(1, deadline=_NOW + 1)
    bench.now += 1.001
    step = bench.step()
    assert isinstance(step, pacing.DropFrame)
    assert step.frame.call_id == 1


def test_a_frame_that_cannot_arrive_in_time_is_dropped_at_once(
    bench: _Bench,
) -> None:
    """Guards against a caller that waits for a frame that must be late."""
    bench.add(1, fragments=20, deadline=_NOW + 0.1)
    assert isinstance(bench.step(), pacing.DropFrame)


def test_pace_bounds_the_queue_and_uses_the_link(bench: _Bench) -> None:
    """Guards against queued fragments that delay small frames."""
    bench.add(1, fragments=99)
    queued: float = 0
    sent_at = bench.now
    for _ in range(99):
        bench.send(1)
        queued = max(0, queued - (bench.now - sent_at) * _RATE) + _FRAGMENT
        sent_at = bench.now
        assert queued <= 2 * _FRAGMENT
    utilisation = 99 * _FRAGMENT / _RATE / (bench.now - _NOW)
    assert _MIN_UTILISATION <= utilisation <= 1


def test_small_frames_delay_fragments_for_a_bounded_time(
    bench: _Bench,
) -> None:
    """Guards against a pace that ignores small frames or is stopped by them."""
    bench.add(1)
    bench.schedule.pace.count(int(_RATE * _SMALL_FRAMES_S), bench.now)
    bench.send(1)
    waited = bench.now - _NOW
    assert _SMALL_FRAMES_S * 9 / 10 <= waited <= _SMALL_FRAMES_S * 11 / 10
    bench.schedule.pace.count(int(_RATE * 60), bench.now)
    bench.send(1)
    assert bench.now - _NOW - waited <= 3 * _SMALL_FRAMES_S


def test_a_full_socket_lets_other_links_send(bench: _Bench) -> None:
    """Guards against one peer that does not read and blocks all others."""
    bench.add(1)
    sent = bench.send(1)
    bench.schedule.full_sockets.add(ids.LinkId(1), bench.now)
    bench.add(2)
    assert [*sent, *bench.send()] == [1, 2, 2]
    bench.schedule.full_sockets.discard(ids.LinkId(1))
    assert bench.send() == [1]


def test_full_sockets_are_limited_when_the_rate_is_unknown() -> None:
    """Guards against filling all socket buffers before the machine's link."""
    bench = _Bench(bytes_per_s=math.inf)
    for number in range(1, 9):
        bench.add(number)
    for link in bench.send(4):
        bench.schedule.full_sockets.add(ids.LinkId(link), bench.now)
    blocked = bench.schedule.next_step(bench.now)
    assert isinstance(blocked, pacing.Wait)
    # Peers that do not read must not block the others for good.
    assert blocked.until == _NOW + 1
    bench.now = blocked.until
    assert isinstance(bench.step(), pacing.SendFragment)


def test_stalled_peer_is_not_counted_as_backlog(bench: _Bench) -> None:
    """Guards against a link that seems busy while its peer does not read."""
    bench.add(1, fragments=99)
    bench.schedule.full_sockets.add(ids.LinkId(1), bench.now)
    assert bench.free_at() > bench.now + 1
    bench.now += 1
    assert bench.free_at() == bench.now


def test_free_at_matches_the_time_of_sending(bench: _Bench) -> None:
    """Guards against admission with a wrong estimate of the backlog."""
    for number in range(1, 9):
        bench.add(number)
    expected = bench.free_at()
    bench.send()
    assert bench.free_at() == pytest.approx(expected)


def test_free_at_counts_ranks_up_to_the_given_one(bench: _Bench) -> None:
    """Guards against urgent requests that seem to wait behind bulk frames."""
    bench.add(1, rank=states.Rank.BULK, fragments=99)
    bench.add(2, rank=states.Rank.NORMAL)
    assert bench.free_at(states.Rank.URGENT) == bench.now
    expected = bench.free_at(states.Rank.NORMAL)
    assert expected < bench.now + 0.1
    assert bench.free_at(states.Rank.BULK) > bench.now + 1
    bench.send(2)
    assert bench.free_at(states.Rank.NORMAL) == pytest.approx(expected)


def test_closing_a_link_removes_its_frames(bench: _Bench) -> None:
    """Guards against fragments sent on a link that is closed."""
    bench.add(1, link=7)
    bench.add(2, link=7)
    bench.add(3)
    bench.schedule.remove_link(ids.LinkId(7))
    assert bench.send() == [3, 3]


@pytest.mark.parametrize(
    ('bytes_per_s', 'expected'),
    [
        (math.inf, 32_768),
        (17_500_000, 32_768),
        (437_500, 7_000),
        (12_500, 2048),
    ],
)
def test_fragment_size_is_bounded_by_its_link_time(
    bytes_per_s: float,
    expected: int,
) -> None:
    """Guards against a fragment that delays small frames for too long."""
    assert pacing.fragment_bytes(bytes_per_s) == expected
