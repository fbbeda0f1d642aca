"""The caller of a replayed request has left."""

import dataclasses

from medlarquay import ids

__all__ = ('CallerLeft',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """The caller of a replayed request has left.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    """

    exchange: ids.ExchangeId
