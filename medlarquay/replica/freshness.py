"""When the source last confirmed what the node holds."""

import math

__all__ = ('Freshness',)


class Freshness:
    """When the source last confirmed what the node holds.

    Times are seconds on the monotonic clock of this node. Each confirmation
    counts from the time at which the probe or the read was sent, so an answer
    that was delayed on the way cannot look fresh.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf
        self._expired_at = -math.inf

    @property
    def confirmed_at(self) -> float:
        """Latest time at which the data was current; -inf if unknown."""
        return self._confirmed_at

    def confirm(self, *, confirmed_at: float, asked_at: float) -> bool:
        """Take a confirmation; return whether it is later than the last.

        Parameters
        ----------
        confirmed_at : float
            Time at which the source held nothing newer.
        asked_at : float
            When the probe or the read was sent.
        """
        if asked_at < self._expired_at or confirmed_at <= self._confirmed_at:
            return False
        self._confirmed_at = confirmed_at
        return True

    def expire(self, *, now: float) -> None:
        """Forget the confirmations asked for before now, after a pause."""
        self._confirmed_at = -math.inf
        self._expired_at = now
