"""Idempotency key made by a caller."""

import dataclasses

from medlarquay import ids

__all__ = ('PlainKey',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainKey:
    """Idempotency key made by a caller.

    Attributes
    ----------
    text : RequestKey
        Key as callers send it.
    created_at : float or None
        Unix time in seconds at which the key was made; None unless the key is
        a UUID of version 7 (RFC 9562), which contains it.
    """

    text: ids.RequestKey
    created_at: float | None
