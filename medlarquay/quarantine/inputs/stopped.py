"""A request ended without an answer, for example by a cancel."""

import dataclasses

from medlarquay import ids

__all__ = ('Stopped',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """A request ended without an answer, for example by a cancel.

    Attributes
    ----------
    exchange : ExchangeId
        Exchange.
    fingerprint : Fingerprint
        Fingerprint of its request.
    """

    exchange: ids.ExchangeId
    fingerprint: ids.Fingerprint
