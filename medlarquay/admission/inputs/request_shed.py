"""Event: the backend server shed a request because of its load."""

import dataclasses

from medlarquay import ids

__all__ = ('RequestShed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestShed:
    """Event: the backend server shed a request because of its load.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    """

    exchange: ids.ExchangeId
