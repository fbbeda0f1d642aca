"""The backend server answered a request."""

import dataclasses

from medlarquay import ids

__all__ = ('Completed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """The backend server answered a request.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange.
    fingerprint : Fingerprint
        Fingerprint of its request.
    """

    exchange: ids.ExchangeId
    fingerprint: ids.Fingerprint
