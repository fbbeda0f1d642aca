"""A request asks for a slot."""

import dataclasses

from medlarquay import ids, states

__all__ = ('Arrived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """A request asks for a slot.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    rank : Rank
        Priority class.
    deadline : float
        Seconds on the monotonic clock.
    """

    exchange: ids.ExchangeId
    rank: states.Rank
    deadline: float
