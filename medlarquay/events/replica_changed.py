"""The records of the replica changed."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('ReplicaChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaChanged:
    """The records of the replica changed.

    Attributes
    ----------
    vector : replica.VersionVector
        Revisions up to which the node holds every record.
    digest : ids.Digest
        Digest over all records.
    instances : tuple of replica.InstanceRecord or None
        New instance list; None if it did not change.
    """

    vector: replica.VersionVector
    digest: ids.Digest
    instances: tuple[replica.InstanceRecord, ...] | None
