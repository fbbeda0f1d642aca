"""A request that waits for a slot."""

import dataclasses

from medlarquay import ids

__all__ = ('QueuedWork',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedWork:
    """A request that waits for a slot.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    deadline, due : float
        When the caller stops waiting, and by when an answer is worth most;
        seconds on the monotonic clock.
    service : float
        Seconds at the backend server that few requests of the route exceed;
        0 before the first sample.
    transfer : float
        Expected seconds of its answer on the link.
    large : bool
        Whether its answer waits on the link until those before it have left.
    latest_start : float
        Time at which the request is refused if it still waits.
    route : RouteName
        Route of the request.
    """

    exchange: ids.ExchangeId
    deadline: float
    service: float
    latest_start: float
    due: float
    route: ids.RouteName
    transfer: float = 0
    large: bool = False

    def answered_at(self, start_at: float, link_free_at: float) -> float:
        """Return when the answer has left if the request starts at a time.

        Parameters
        ----------
        start_at, link_free_at : float
            When it starts and when the large answers before it have left,
            seconds on the monotonic clock.
        """
        ready_at = start_at + self.service
        if self.large:
            ready_at = max(ready_at, link_free_at)
        return ready_at + self.transfer
