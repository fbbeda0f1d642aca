"""Filter for reports of the link's backlog."""

import math
from collections.abc import Mapping

from medlarquay import states

__all__ = ('BacklogReporter',)

# Fragments are written ahead of the link, and the next one is counted with
# them, so the time varies by this much even for ranks without waiting frames.
_MIN_CHANGE_S = 0.04


class BacklogReporter:
    """Decides which changes of the link's backlog are reported to the owner.

    Notes
    -----
    The backlog is stated as the time at which the link will be free. That
    time stays the same while frames leave at the rate of the link, so the
    passing of time alone is not a change.
    """

    def __init__(self) -> None:
        self._reported: Mapping[states.Rank, float] = dict.fromkeys(
            states.Rank,
            -math.inf,
        )
        self._reported_idle_at = -math.inf

    def is_idle(self, free_at: float, now: float) -> bool:
        """Return whether the link is idle, so that no report can be due.

        A cheap check before :meth:`should_report`: it avoids computing the
        times of all ranks for each small frame.

        Parameters
        ----------
        free_at : float
            Time at which the link will be free if no large frame waits,
            seconds on the monotonic clock.
        now : float
            Seconds on the same clock.
        """
        return max(free_at, self._reported_idle_at) < now + _MIN_CHANGE_S

    def should_report(
        self,
        free_at: Mapping[states.Rank, float],
        now: float,
    ) -> bool:
        """Return whether to report a backlog, and record it as reported.

        Parameters
        ----------
        free_at : Mapping[Rank, float]
            Time at which the frames up to each rank will have left, seconds
            on the monotonic clock.
        now : float
            Seconds on the same clock.
        """
        changes = (
            max(free_at[rank], now) - max(self._reported[rank], now)
            for rank in states.Rank
        )
        if max(map(abs, changes)) < _MIN_CHANGE_S:
            return False
        self._reported = free_at
        self._reported_idle_at = max(free_at.values())
        return True
