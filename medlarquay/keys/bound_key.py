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
    """

    text: ids.RequestKey
    instance: ids.InstanceId
    incarnation: ids.Incarnation
