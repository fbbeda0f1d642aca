"""When a change of the backlog of the link is told."""

import math

__all__ = ('BacklogReport',)

#: What waits for less time is told with the next change; it is about the
#: time of one fragment, so each large frame is told.
_LEAST_CHANGE_S = 0.016


class BacklogReport:
    """Decides when a change of the backlog of the link is told.

    Notes
    -----
    A backlog that leaves at the pace of the link keeps the time at which the
    link is free, so the passing of time is no change.
    """

    def __init__(self) -> None:
        self._told = -math.inf

    def is_due(self, free_at: float, now: float) -> bool:
        """Tell whether a backlog is to be told; it then counts as told.

        Parameters
        ----------
        free_at : float
            When all that waits will have left, seconds on the monotonic
            clock.
        now : float
            Seconds on the same clock.
        """
        change = max(free_at, now) - max(self._told, now)
        if abs(change) < _LEAST_CHANGE_S:
            return False
        self._told = free_at
        return True
