"""Idempotency key issued by a node; it names its home."""

import dataclasses

from medlarquay import ids

__all__ = ('BoundKey',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BoundKey:
    """Idempotency key issued by a node; it names its home.

    Attributes
    ----------
    text : RequestKey
        Key as callers send it.
    instance : InstanceId
        Instance whose node is the home of the key.
    incarnation : Incarnation
        Incarnation of that node; the ledger of a later one lacks the key.
    created_at : float
        Unix time in seconds at which the key was issued.
    """

    text: ids.RequestKey
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    created_at: float
