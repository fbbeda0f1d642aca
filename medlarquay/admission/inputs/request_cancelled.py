"""A request no longer needs its slot or its place in a queue."""

import dataclasses

from medlarquay import ids

__all__ = ('RequestCancelled',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCancelled:
    """A request no longer needs its slot or its place in a queue.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    """

    exchange: ids.ExchangeId
