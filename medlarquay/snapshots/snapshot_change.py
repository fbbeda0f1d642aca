"""Difference between two successive snapshots."""

import dataclasses

from medlarquay import ids, replica, settings

__all__ = ('SnapshotChange',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChange:
    """Difference between two successive snapshots.

    Attributes
    ----------
    tree_revision, list_revision : ids.Revision
        Revisions of the settings tree and of the instance list after the
        change.
    documents : tuple of TeamDocument
        New and changed documents.
    removed_teams : tuple of TeamName
        Teams whose document was removed.
    unknown_teams : frozenset of TeamName
        All teams of which no version is accepted, after the change.
    instances : tuple of InstanceRecord
        New and changed records; a tombstone removes its instance.
    removed_instances : tuple of InstanceId
        Instances that are no longer in the instance list.
    """

    tree_revision: ids.Revision
    list_revision: ids.Revision
    documents: tuple[settings.TeamDocument, ...] = ()
    removed_teams: tuple[ids.TeamName, ...] = ()
    unknown_teams: frozenset[ids.TeamName] = frozenset()
    instances: tuple[replica.InstanceRecord, ...] = ()
    removed_instances: tuple[ids.InstanceId, ...] = ()
