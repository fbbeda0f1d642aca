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
    deadline : float
        Seconds on the monotonic clock.
    """

    exchange: ids.ExchangeId
    deadline: float
