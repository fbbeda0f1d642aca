"""Query for the owner that a bound key names."""

import dataclasses

from medlarquay import ids, keys, replica

__all__ = ('BoundKeyQuery',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BoundKeyQuery:
    """Query for the owner that a bound key names.

    Attributes
    ----------
    key : BoundKey
        Idempotency key of the call.
    backends : tuple of InstanceRecord
        All backend servers of the service, live and leaving.
    incarnation : Incarnation or None
        Incarnation of the named node that this ingress has a link to; None
        without a link.
    """

    key: keys.BoundKey
    backends: tuple[replica.InstanceRecord, ...]
    incarnation: ids.Incarnation | None
