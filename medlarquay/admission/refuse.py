"""Refuse a request that was not sent."""

import dataclasses

from medlarquay import ids, states

__all__ = ('Refuse',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse a request that was not sent.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    reason : RefusalReason
        Why it was refused.
    """

    exchange: ids.ExchangeId
    reason: states.RefusalReason
