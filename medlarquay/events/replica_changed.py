"""The records held by the node changed."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('ReplicaChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaChanged:
    """The records held by the node changed.

    Attributes
    ----------
    vector : replica.VersionVector
        Revisions up to which every record is held.
    digest : ids.Digest
        Digest over all records.
    instances : tuple of replica.InstanceRecord or None
        The instance list if it changed.
    """

    vector: replica.VersionVector
    digest: ids.Digest
    instances: tuple[replica.InstanceRecord, ...] | None
