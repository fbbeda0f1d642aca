"""Reports of the link's backlog."""

import pytest

from medlarquay import pacing, states

_NOW = 100.0


@pytest.mark.parametrize(
    ('reported', 'free_at', 'now', 'expected'),
    [
        # An idle link is not reported.
        (None, _NOW - 1, _NOW, False),
        (None, _NOW + 0.5, _NOW, True),
        # The backlog leaves at the reported rate.
        (_NOW + 0.5, _NOW + 0.5, _NOW + 0.3, False),
        (_NOW + 0.5, _NOW + 0.5, _NOW + 3, False),
        # A small frame is below the threshold, a large one is not.
        (_NOW + 0.5, _NOW + 0.51, _NOW + 0.1, False),
        (_NOW + 0.5, _NOW + 0.7, _NOW + 0.1, True),
        # Frames were withdrawn, well before and just before the reported time.
        (_NOW + 0.5, _NOW + 0.2, _NOW + 0.1, True),
        (_NOW + 0.5, _NOW + 0.2, _NOW + 0.49, False),
    ],
)
def test_changes_are_reported_but_passing_time_is_not(
    reported: float | None,
    free_at: float,
    now: float,
    *,
    expected: bool,
) -> None:
    """Guards against a report for each fragment, and against lost changes."""
    reporter = pacing.BacklogReporter()
    if reported is not None:
        assert reporter.should_report(_all_ranks(reported), _NOW)
    # The shortcut for an idle link must never hide a change.
    assert not (expected and reporter.is_idle(free_at, now))
    assert reporter.should_report(_all_ranks(free_at), now) is expected


def test_idle_check_needs_no_per_rank_times() -> None:
    """Guards against computing the times of all ranks for each small frame."""
    reporter = pacing.BacklogReporter()
    assert reporter.is_idle(_NOW - 1, _NOW)
    assert reporter.should_report(_all_ranks(_NOW + 1), _NOW)
    assert not reporter.is_idle(_NOW - 1, _NOW)
    assert reporter.is_idle(_NOW - 1, _NOW + 1)


def _all_ranks(free_at: float) -> dict[states.Rank, float]:
    return dict.fromkeys(states.Rank, free_at)


def test_change_of_one_rank_is_reported() -> None:
    """Guards against a missed change of a single rank.

    Urgent requests would then seem to wait behind bulk ones.
    """
    reporter = pacing.BacklogReporter()
    reported = _all_ranks(_NOW + 1)
    assert reporter.should_report(reported, _NOW)
    changed = {**reported, states.Rank.URGENT: _NOW + 0.5}
    assert reporter.should_report(changed, _NOW)
    assert not reporter.should_report(changed, _NOW)
