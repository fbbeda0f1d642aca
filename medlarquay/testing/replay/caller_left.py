"""Event: the caller of a replayed request disconnected."""

import dataclasses

from medlarquay import ids

__all__ = ('CallerLeft',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """Event: the caller of a replayed request disconnected.

    Attributes
    ----------
    exchange : ExchangeId
        Identifier of the exchange at the owner.
    """

    exchange: ids.ExchangeId
