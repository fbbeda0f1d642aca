"""Records newer than a version vector."""

import dataclasses

from medlarquay import ids
from medlarquay.replica import (
    instance_record,
    team_difference,
    team_record,
    version_vector,
)

__all__ = ('Delta',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Records newer than a version vector.

    Attributes
    ----------
    teams : tuple[TeamRecord, ...]
        Changed team records, in order of revision.
    differences : tuple[TeamDifference, ...]
        Changed team records, encoded as differences from the records that a
        node at the base holds.
    instances : tuple[InstanceRecord, ...]
        Changed instance records, in order of revision.
    base : VersionVector
        The delta contains every record newer than this vector.
    reached : VersionVector
        Vector of a node that covers the base after it has applied the delta.
    digest : ids.Digest
        Digest over all records of the sender; empty if more deltas follow.
    """

    teams: tuple[team_record.TeamRecord, ...]
    instances: tuple[instance_record.InstanceRecord, ...]
    base: version_vector.VersionVector
    reached: version_vector.VersionVector
    digest: ids.Digest
    differences: tuple[team_difference.TeamDifference, ...] = ()
