"""Entries that lapsed while the source was away, told from removed ones."""

import math

__all__ = ('LapseGuard',)

# An entry lapses after three missed heartbeats of 1.5 s, so after a shorter
# outage there is nothing to hold back. A tree that lost two parents in a row
# lags by up to 4 s.
_AWAY_S = 4.5
# An instance that lives is listed again within this time of the return.
_HOLD_S = 2.2


class LapseGuard:
    """Tells how long a removal from the instance list is not acted on.

    Notes
    -----
    An entry lapses when its backend server cannot reach the source, and comes
    back when it can. Acting on the removals at the return of the source
    would empty every service for two seconds. Each node decides by the age of
    its own list. The age of the documents does not count: they take seconds
    of a slow link while the source is there.
    """

    def __init__(self) -> None:
        self._hold_until = -math.inf

    def hold_until(self, *, now: float, confirmed_at: float) -> float:
        """Return until when removals that arrive now are held back.

        It is -inf when they are acted on at once.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        confirmed_at : float
            When the source last confirmed the instance list that the node
            held before; -inf for a node that has just started.
        """
        if -math.inf < confirmed_at < now - _AWAY_S:
            self._hold_until = now + _HOLD_S
        return self._hold_until if now < self._hold_until else -math.inf
