"""Event that the backend server answered a request."""

import dataclasses

from medlarquay import ids

__all__ = ('Completed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """Event that the backend server answered a request.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange with the backend server.
    fingerprint : Fingerprint
        Fingerprint of the request.
    """

    exchange: ids.ExchangeId
    fingerprint: ids.Fingerprint
