"""A request with an idempotency key has arrived."""

import dataclasses

from medlarquay import ids, keys

__all__ = ('KeyReceived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyReceived:
    """A request with an idempotency key has arrived.

    Attributes
    ----------
    key : BoundKey or PlainKey
        Parsed key.
    fingerprint : Fingerprint
        Fingerprint of the request.
    exchange : ExchangeId
        Exchange that runs the request if the key is new.
    """

    key: keys.BoundKey | keys.PlainKey
    fingerprint: ids.Fingerprint
    exchange: ids.ExchangeId
