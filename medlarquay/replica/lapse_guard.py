"""Delay of removals that may be lapsed entries after a source outage."""

import math

__all__ = ('LapseGuard',)

# An entry lapses after three missed heartbeats at intervals of 1.5 s, so a
# shorter outage removes no entries. A node whose branch of the distribution
# tree lost two parents in a row lags by up to 4 s, which is not an outage.
_MIN_OUTAGE_S = 4.5
# A live instance is listed again within this time after the source returns.
_HOLD_S = 2.2


class LapseGuard:
    """Decides how long removals from the instance list are held back.

    Notes
    -----
    An entry lapses when its backend server cannot reach the source, and is
    listed again when it can. Applying the removals as soon as the source
    returns would leave every service without instances for two seconds. Each
    node decides by the age of its own instance list. The age of the documents
    is not used, because they can take seconds on a slow link while the source
    is reachable.
    """

    def __init__(self) -> None:
        self._hold_until = -math.inf

    def hold_until(self, *, now: float, confirmed_at: float) -> float:
        """Return until when removals that arrive now are held back.

        The time is -inf if they are applied at once.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        confirmed_at : float
            When the source last confirmed the instance list that the node
            held before; -inf for a node that has just started.
        """
        if -math.inf < confirmed_at < now - _MIN_OUTAGE_S:
            self._hold_until = now + _HOLD_S
        return self._hold_until if now < self._hold_until else -math.inf
