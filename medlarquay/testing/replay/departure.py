"""An answer that is no longer at the machine of a replayed owner."""

import dataclasses

from medlarquay import ids

__all__ = ('Departure',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """An answer that is no longer at the machine of a replayed owner.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    left_at : float or None
        When its last byte left, seconds from the start; None if it was
        dropped.
    """

    exchange: ids.ExchangeId
    left_at: float | None
