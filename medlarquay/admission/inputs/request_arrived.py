"""A request asks for a slot."""

import dataclasses
import math

from medlarquay import ids, states

__all__ = ('RequestArrived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived:
    """A request asks for a slot.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    rank : Rank
        Priority class.
    deadline : float
        Seconds on the monotonic clock.
    route : RouteName
        Route; its requests take similar times.
    due : float
        Time by which an answer is worth most, on the same clock; orders the
        requests of one rank.
    last_owner : bool
        Whether no other owner will be asked, so that a late answer is better
        than a refusal.
    local : bool
        Whether the caller is on this node, so that the answer does not use
        the link of the machine.
    """

    exchange: ids.ExchangeId
    rank: states.Rank
    deadline: float
    route: ids.RouteName = ids.RouteName('')
    due: float = math.inf
    last_owner: bool = True
    local: bool = False
