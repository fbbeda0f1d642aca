"""Decision to send a request to the backend server."""

import dataclasses

from medlarquay import ids

__all__ = ('Start',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Decision to send a request to the backend server.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    """

    exchange: ids.ExchangeId
