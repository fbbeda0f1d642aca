"""When a change of the backlog of the link is told."""

import math
from collections.abc import Mapping

from medlarquay import states

__all__ = ('BacklogReporter',)

# Fragments are written ahead of the link, and the next one is counted with
# them: this much comes and goes for ranks of which nothing waits.
_LEAST_CHANGE_S = 0.04


class BacklogReporter:
    """Decides when a change of the backlog of the link is told.

    Notes
    -----
    A backlog that leaves at the pace of the link keeps the time at which the
    link is free, so the passing of time is no change.
    """

    def __init__(self) -> None:
        self._told: Mapping[states.Rank, float] = dict.fromkeys(
            states.Rank,
            -math.inf,
        )
        self._latest = -math.inf

    def is_idle(self, free_at: float, now: float) -> bool:
        """Tell whether an empty link is surely not worth a message.

        It spares the times of all ranks, which each small frame would need.

        Parameters
        ----------
        free_at : float
            When the link will be free if no large frame waits, seconds on
            the monotonic clock.
        now : float
            Seconds on the same clock.
        """
        return max(free_at, self._latest) < now + _LEAST_CHANGE_S

    def should_report(
        self,
        free_at: Mapping[states.Rank, float],
        now: float,
    ) -> bool:
        """Tell whether a backlog is to be told; it then counts as told.

        Parameters
        ----------
        free_at : Mapping[Rank, float]
            When what waits up to each rank will have left, seconds on the
            monotonic clock.
        now : float
            Seconds on the same clock.
        """
        changes = (
            max(free_at[rank], now) - max(self._told[rank], now)
            for rank in states.Rank
        )
        if max(map(abs, changes)) < _LEAST_CHANGE_S:
            return False
        self._told = free_at
        self._latest = max(free_at.values())
        return True
