"""A request is about to be sent to the backend server."""

import dataclasses

from medlarquay import ids

__all__ = ('StartAsked',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartAsked:
    """A request is about to be sent to the backend server.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange.
    fingerprint : Fingerprint
        Fingerprint of its request.
    """

    exchange: ids.ExchangeId
    fingerprint: ids.Fingerprint
