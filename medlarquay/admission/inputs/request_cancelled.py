"""Event: a queued or running request was cancelled."""

import dataclasses

from medlarquay import ids

__all__ = ('RequestCancelled',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCancelled:
    """Event: a queued or running request was cancelled.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    """

    exchange: ids.ExchangeId
