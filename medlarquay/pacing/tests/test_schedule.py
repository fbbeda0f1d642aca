"""Which large frame is sent, and when."""

import math

import pytest

from medlarquay import ids, pacing, states

_RATE = 437_500.0
_FRAGMENT = pacing.fragment_bytes(_RATE)
_NOW = 100.0
_SOON_S = 0.1
_LEAST_USE = 0.85


class _Bench:
    """A schedule with the frames that it sent."""

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
        """Add a frame, on a link of its own if none is given."""
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
        """Wait until the schedule does something; None if it never will."""
        while True:
            step = self.schedule.next_step(self.now)
            if not isinstance(step, pacing.Wait) or step.until == math.inf:
                return step
            assert step.until > self.now
            self.now = step.until

    def send(self, count: int = 99) -> list[int]:
        """Send parts; return the number of the frame of each."""
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
    """Return an empty schedule."""
    return _Bench()


def test_frames_go_one_after_the_other_by_due_time(bench: _Bench) -> None:
    """Guards against answers that share the link and are all late."""
    bench.add(1, due=_NOW + 9)
    bench.add(2, due=_NOW + 3)
    bench.add(3)
    assert bench.send() == [2, 2, 1, 1, 3, 3]


def test_a_started_frame_is_finished_first(bench: _Bench) -> None:
    """Guards against frames that hold memory at their receivers in part."""
    bench.add(1, due=_NOW + 9)
    sent = bench.send(1)
    bench.add(2, due=_NOW + 3)
    assert [*sent, *bench.send()] == [1, 1, 2, 2]


def test_an_urgent_frame_overtakes_a_started_one(bench: _Bench) -> None:
    """Guards against an approval that waits behind a bundle."""
    bench.add(1, rank=states.Rank.BULK)
    sent = bench.send(1)
    bench.add(2, rank=states.Rank.URGENT)
    bench.add(3)
    assert [*sent, *bench.send()] == [1, 2, 2, 3, 3, 1]


def test_a_frame_that_is_late_anyway_lets_others_pass(bench: _Bench) -> None:
    """Guards against an overload in which each frame is just too late."""
    bench.add(1, fragments=9, due=_NOW + 0.01)
    bench.add(2, due=_NOW + 3)
    assert bench.send() == [2, 2] + 9 * [1]


@pytest.mark.parametrize('bytes_per_s', [_RATE, math.inf])
def test_a_frame_past_its_deadline_is_dropped(bytes_per_s: float) -> None:
    """Guards against a link that carries answers nobody waits for."""
    bench = _Bench(bytes_per_s=bytes_per_s)
    bench.add(1, deadline=_NOW + 1)
    bench.now += 1.001
    step = bench.step()
    assert isinstance(step, pacing.DropFrame)
    assert step.frame.call_id == 1


def test_a_frame_that_cannot_arrive_in_time_is_dropped_at_once(
    bench: _Bench,
) -> None:
    """Guards against a caller that waits for what is known to fail."""
    bench.add(1, fragments=20, deadline=_NOW + 0.1)
    assert isinstance(bench.step(), pacing.DropFrame)


def test_the_pace_leaves_room_on_the_link(bench: _Bench) -> None:
    """Guards against a queue before the link that small frames wait behind."""
    bench.add(1, fragments=99)
    queued: float = 0
    then = bench.now
    for _ in range(99):
        bench.send(1)
        queued = max(0, queued - (bench.now - then) * _RATE) + _FRAGMENT
        then = bench.now
        assert queued <= 2 * _FRAGMENT
    used = 99 * _FRAGMENT / _RATE / (bench.now - _NOW)
    assert _LEAST_USE <= used <= 1


def test_small_frames_hold_large_ones_back_for_a_bounded_time(
    bench: _Bench,
) -> None:
    """Guards against a pace that ignores small frames, or stops for them."""
    bench.add(1)
    bench.schedule.pace.count(int(_RATE * _SOON_S), bench.now)
    bench.send(1)
    waited = bench.now - _NOW
    assert _SOON_S * 9 / 10 <= waited <= _SOON_S * 11 / 10
    bench.schedule.pace.count(int(_RATE * 60), bench.now)
    bench.send(1)
    assert bench.now - _NOW - waited <= 3 * _SOON_S


def test_a_full_socket_lets_other_links_send(bench: _Bench) -> None:
    """Guards against one peer that does not read and stops all others."""
    bench.add(1)
    sent = bench.send(1)
    bench.schedule.full_sockets.add(ids.LinkId(1), bench.now)
    bench.add(2)
    assert [*sent, *bench.send()] == [1, 2, 2]
    bench.schedule.full_sockets.discard(ids.LinkId(1))
    assert bench.send() == [1]


def test_few_sockets_are_full_at_a_time_when_the_rate_is_unknown() -> None:
    """Guards against all sockets filled before the link of the machine."""
    bench = _Bench(bytes_per_s=math.inf)
    for number in range(1, 9):
        bench.add(number)
    for link in bench.send(4):
        bench.schedule.full_sockets.add(ids.LinkId(link), bench.now)
    blocked = bench.schedule.next_step(bench.now)
    assert isinstance(blocked, pacing.Wait)
    # Peers that do not read must not stop the others for good.
    assert blocked.until == _NOW + 1
    bench.now = blocked.until
    assert isinstance(bench.step(), pacing.SendFragment)


def test_a_peer_that_does_not_read_keeps_the_link_free(bench: _Bench) -> None:
    """Guards against a link that seems full while it carries nothing."""
    bench.add(1, fragments=99)
    bench.schedule.full_sockets.add(ids.LinkId(1), bench.now)
    assert bench.free_at() > bench.now + 1
    bench.now += 1
    assert bench.free_at() == bench.now


def test_frames_leave_when_the_schedule_says(bench: _Bench) -> None:
    """Guards against admission by another time than that of the pace."""
    for number in range(1, 9):
        bench.add(number)
    expected = bench.free_at()
    bench.send()
    assert bench.free_at() == pytest.approx(expected)


def test_a_rank_waits_for_those_before_it(bench: _Bench) -> None:
    """Guards against urgent requests that seem to wait behind bulk ones."""
    bench.add(1, rank=states.Rank.BULK, fragments=99)
    bench.add(2, rank=states.Rank.NORMAL)
    assert bench.free_at(states.Rank.URGENT) == bench.now
    expected = bench.free_at(states.Rank.NORMAL)
    assert expected < bench.now + 0.1
    assert bench.free_at(states.Rank.BULK) > bench.now + 1
    bench.send(2)
    assert bench.free_at(states.Rank.NORMAL) == pytest.approx(expected)


def test_a_closed_link_takes_its_frames_with_it(bench: _Bench) -> None:
    """Guards against fragments for a link that is gone."""
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
def test_a_fragment_occupies_the_link_for_a_short_time(
    bytes_per_s: float,
    expected: int,
) -> None:
    """Guards against one fragment that delays small frames for long."""
    assert pacing.fragment_bytes(bytes_per_s) == expected
