"""Event that a request is about to be sent to the backend server."""

import dataclasses

from medlarquay import ids

__all__ = ('StartAsked',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartAsked:
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
