"""Time at which the source last confirmed the data of a node."""

import math

__all__ = ('Freshness',)


class Freshness:
    """Time at which the source last confirmed the data of a node.

    Times are in seconds on the monotonic clock of this node. A confirmation
    is dated from when the probe or the read was sent, so that an answer that
    was delayed on the way cannot look fresh.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf
        self._expired_at = -math.inf

    @property
    def confirmed_at(self) -> float:
        """Latest time at which the data was known to be current, or -inf."""
        return self._confirmed_at

    def confirm(self, *, confirmed_at: float, requested_at: float) -> bool:
        """Record a confirmation; return whether it is later than the last.

        Parameters
        ----------
        confirmed_at : float
            Time at which the source had nothing newer.
        requested_at : float
            When the probe or the read was sent.
        """
        if (
            requested_at < self._expired_at
            or confirmed_at <= self._confirmed_at
        ):
            return False
        self._confirmed_at = confirmed_at
        return True

    def expire(self, *, now: float) -> None:
        """Discard confirmations requested before now, after a process pause."""
        self._confirmed_at = -math.inf
        self._expired_at = now
