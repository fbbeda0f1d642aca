"""Answer that a replayed owner has sent or dropped."""

import dataclasses

from medlarquay import ids

__all__ = ('Departure',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """Answer that a replayed owner has sent or dropped.

    Attributes
    ----------
    exchange : ExchangeId
        Identifier of the exchange at the owner.
    left_at : float or None
        When its last byte was sent, in seconds from the start; None if it
        was dropped.
    """

    exchange: ids.ExchangeId
    left_at: float | None
