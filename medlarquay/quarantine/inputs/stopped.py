"""Event that a request ended without an answer."""

import dataclasses

from medlarquay import ids

__all__ = ('Stopped',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """Event that a request ended without an answer, for example by a cancel.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange with the backend server.
    fingerprint : Fingerprint
        Fingerprint of the request.
    """

    exchange: ids.ExchangeId
    fingerprint: ids.Fingerprint
