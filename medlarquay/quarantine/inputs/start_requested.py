"""Event that a request is about to be sent to the backend server."""

import dataclasses

from medlarquay import ids

__all__ = ('StartRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRequested:
    """Event that a request is about to be sent to the backend server.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange with the backend server.
    fingerprint : Fingerprint
        Fingerprint of the request.
    """

    exchange: ids.ExchangeId
    fingerprint: ids.Fingerprint
