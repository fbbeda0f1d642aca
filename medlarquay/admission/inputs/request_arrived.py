"""Event: a request arrived at the owner."""

import dataclasses
import math

from medlarquay import ids, states

__all__ = ('RequestArrived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived:
    """Event: a request arrived at the owner.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    rank : Rank
        Priority class.
    deadline : float
        Time at which the caller stops waiting, seconds on the monotonic
        clock.
    route : RouteName
        Route of the request. Requests of one route have similar service
        times.
    due : float
        Time by which the caller wants the answer, on the same clock; orders
        the requests of one rank.
    last_attempt : bool
        Whether no other owner will be tried, so that an answer after the due
        time is better than a refusal.
    local : bool
        Whether the caller is on this node, so that the answer does not use
        the machine's link.
    """

    exchange: ids.ExchangeId
    rank: states.Rank
    deadline: float
    route: ids.RouteName = ids.RouteName('')
    due: float = math.inf
    last_attempt: bool = True
    local: bool = False
