"""When a change of the backlog of the link is told."""

import pytest

from medlarquay import pacing, states

_NOW = 100.0


@pytest.mark.parametrize(
    ('told', 'free_at', 'now', 'due'),
    [
        # An empty link is not worth a message.
        (None, _NOW - 1, _NOW, False),
        (None, _NOW + 0.5, _NOW, True),
        # It leaves at the pace that was told.
        (_NOW + 0.5, _NOW + 0.5, _NOW + 0.3, False),
        (_NOW + 0.5, _NOW + 0.5, _NOW + 3, False),
        # A small frame.
        (_NOW + 0.5, _NOW + 0.51, _NOW + 0.1, False),
        (_NOW + 0.5, _NOW + 0.7, _NOW + 0.1, True),
        # Frames were withdrawn, and the time that they were told has passed.
        (_NOW + 0.5, _NOW + 0.2, _NOW + 0.1, True),
        (_NOW + 0.5, _NOW + 0.2, _NOW + 0.49, False),
    ],
)
def test_changes_are_told_and_time_is_not(
    told: float | None,
    free_at: float,
    now: float,
    *,
    due: bool,
) -> None:
    """Guards against a message for each fragment and against lost changes."""
    report = pacing.BacklogReporter()
    if told is not None:
        assert report.should_report(_of_all(told), _NOW)
    # The short cut for an empty link never hides what is to be told.
    assert not (due and report.is_idle(free_at, now))
    assert report.should_report(_of_all(free_at), now) is due


def test_an_idle_link_is_seen_without_the_times_of_all_ranks() -> None:
    """Guards against work for all ranks at each small frame."""
    report = pacing.BacklogReporter()
    assert report.is_idle(_NOW - 1, _NOW)
    assert report.should_report(_of_all(_NOW + 1), _NOW)
    assert not report.is_idle(_NOW - 1, _NOW)
    assert report.is_idle(_NOW - 1, _NOW + 1)


def _of_all(free_at: float) -> dict[states.Rank, float]:
    return dict.fromkeys(states.Rank, free_at)


def test_a_change_of_one_rank_is_told() -> None:
    """Guards against urgent requests that seem to wait behind bulk ones."""
    report = pacing.BacklogReporter()
    told = _of_all(_NOW + 1)
    assert report.should_report(told, _NOW)
    changed = {**told, states.Rank.URGENT: _NOW + 0.5}
    assert report.should_report(changed, _NOW)
    assert not report.should_report(changed, _NOW)
