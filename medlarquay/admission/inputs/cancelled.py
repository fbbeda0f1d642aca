"""A request no longer needs its slot or its place in a queue."""

import dataclasses

from medlarquay import ids

__all__ = ('Cancelled',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """A request no longer needs its slot or its place in a queue.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    """

    exchange: ids.ExchangeId
