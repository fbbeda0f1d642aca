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
    latest_start : float
        Start after which an answer by the deadline is not expected.
    route : RouteName
        Route of the request.
    """

    exchange: ids.ExchangeId
    deadline: float
    latest_start: float
    due: float
    route: ids.RouteName
