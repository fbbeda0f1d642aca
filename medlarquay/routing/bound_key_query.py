"""A call whose key names its owner."""

import dataclasses

from medlarquay import ids, keys, replica

__all__ = ('BoundKeyQuery',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BoundKeyQuery:
    """A call whose key names its owner.

    Attributes
    ----------
    key : BoundKey
        Key.
    backends : tuple of InstanceRecord
        All backend servers of the service, live and leaving.
    incarnation : Incarnation or None
        Run of the named node that this ingress has a link to, if any.
    """

    key: keys.BoundKey
    backends: tuple[replica.InstanceRecord, ...]
    incarnation: ids.Incarnation | None
