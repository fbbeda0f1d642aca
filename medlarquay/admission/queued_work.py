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
