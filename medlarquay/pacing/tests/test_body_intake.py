"""Tests of the order in which large bodies may be sent to a node."""

import math

import hypothesis
from hypothesis import strategies as st

from medlarquay import ids, pacing, states

_BYTES_PER_S = 625_000
_BODY_BYTES = 60_000
# Time in which the link carries one body, in seconds.
_BODY_S = _BODY_BYTES / (_BYTES_PER_S * pacing.PACED_SHARE)
_STALLED_S = 1
_ARRIVE_BY_S = 6
_MIN_STEP_S = 0.001


def _body(
    number: int,
    *,
    rank: states.Rank = states.Rank.BULK,
    due: float = 2,
    length: int = _BODY_BYTES,
    arrive_by: float = _ARRIVE_BY_S,
) -> pacing.OfferedBody:
    return pacing.OfferedBody(
        link=ids.LinkId(number),
        call_id=ids.CallId(1),
        length=length,
        rank=rank,
        due=due,
        arrive_by=arrive_by,
    )


def _granted(intake: pacing.BodyIntake, now: float) -> list[int]:
    return [body.link for body in intake.take_grants(now)]


def test_bodies_under_way_are_bounded() -> None:
    """Guards against a link that many senders fill at the same time."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    for number in range(5):
        assert intake.add(_body(number), 0)
    assert _granted(intake, 0) == [0]
    assert not _granted(intake, 0.1)
    intake.release((ids.LinkId(0), ids.CallId(1)))
    assert _granted(intake, 0.1) == [1]


def test_a_body_longer_than_the_window_is_granted_alone() -> None:
    """Guards against a body that is never granted because of its length."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    intake.add(_body(1, length=400_000), 0)
    intake.add(_body(2, due=3), 0)
    assert _granted(intake, 0) == [1]


def test_urgent_bodies_pass_bulk_ones() -> None:
    """Guards against urgent bodies that wait behind bulk ones."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    intake.add(_body(1), 0)
    assert _granted(intake, 0) == [1]
    intake.add(_body(2), 0)
    intake.add(_body(3, due=1), 0)
    intake.add(_body(4, rank=states.Rank.URGENT, due=5), 0)
    order = []
    for sent in (1, 4, 3):
        intake.release((ids.LinkId(sent), ids.CallId(1)))
        order.extend(_granted(intake, 0))
    assert order == [4, 3, 2]


def test_body_that_would_arrive_late_is_refused_at_once() -> None:
    """Guards against callers that wait for a link that cannot take the body."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    in_time = [
        intake.add(_body(number, arrive_by=3.5 * _BODY_S), 0)
        for number in range(5)
    ]
    assert in_time == [True, True, True, False, False]


def test_passed_body_is_refused_when_it_can_no_longer_arrive() -> None:
    """Guards against a body that waits until its caller has gone."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    intake.add(_body(1), 0)
    intake.take_grants(0)
    intake.add(_body(2, arrive_by=1), 0)
    refused_at = intake.next_check(0)
    assert refused_at <= 1
    assert not intake.take_unreachable(0.5)
    late = intake.take_unreachable(1)
    assert [body.link for body in late] == [2]
    assert math.isinf(intake.next_check(1))


def test_sender_that_stalls_does_not_hold_up_others() -> None:
    """Guards against a granted body whose sender was paused or lost power."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    intake.add(_body(1), 0)
    intake.take_grants(0)
    intake.add(_body(2), 0)
    checked_at = intake.next_check(0)
    assert checked_at < _STALLED_S
    assert _granted(intake, checked_at) == [2]


def test_bodies_of_a_closed_link_are_forgotten() -> None:
    """Guards against room that is kept for a sender that is gone."""
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    intake.add(_body(1), 0)
    intake.take_grants(0)
    intake.add(_body(2), 0)
    intake.release_link(ids.LinkId(1))
    assert _granted(intake, 0) == [2]


def test_unknown_rate_grants_at_once() -> None:
    """Guards against bodies that wait for a link of unknown rate."""
    intake = pacing.BodyIntake()
    for number in range(50):
        assert intake.add(_body(number), 0)
    assert len(_granted(intake, 0)) == 50


@hypothesis.given(
    lengths=st.lists(st.integers(16_384, 400_000), min_size=1, max_size=20),
    ranks=st.lists(st.sampled_from(states.Rank), min_size=20, max_size=20),
)
@hypothesis.settings(derandomize=True)
def test_every_added_body_is_granted_or_refused(
    lengths: list[int],
    ranks: list[states.Rank],
) -> None:
    """Guards against an offer that is never answered.

    Senders never send what they were granted, so only time frees the link.
    """
    intake = pacing.BodyIntake(bytes_per_s=_BYTES_PER_S)
    waiting = set()
    for number, (length, rank) in enumerate(zip(lengths, ranks, strict=False)):
        if intake.add(_body(number, length=length, rank=rank), 0):
            waiting.add(number)
    now: float = 0
    while waiting:
        waiting -= {body.link for body in intake.take_unreachable(now)}
        waiting -= set(_granted(intake, now))
        checked_at = intake.next_check(now)
        assert bool(waiting) == (checked_at < math.inf)
        if waiting:
            now = max(now + _MIN_STEP_S, checked_at)
    assert now < _ARRIVE_BY_S + _STALLED_S
