"""Key issued by a node; it names the process that remembers it."""

import dataclasses

from medlarquay import ids

__all__ = ('BoundKey',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BoundKey:
    """Key issued by a node; it names the process that remembers it.

    Attributes
    ----------
    text : RequestKey
        Key as callers send it.
    instance : InstanceId
        Instance whose node remembers the key.
    incarnation : Incarnation
        Run of that node; a later run has no memory of the key.
    created_at : float
        Unix time in seconds at which the key was issued.
    """

    text: ids.RequestKey
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    created_at: float
