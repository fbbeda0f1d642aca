"""Building of a snapshot from all documents and instances."""

from collections.abc import Iterable

from medlarquay import ids, replica, settings
from medlarquay.snapshots import apply, snapshot, snapshot_change

__all__ = ('build_snapshot',)

_NO_TEAMS: frozenset[ids.TeamName] = frozenset()


def build_snapshot(
    *,
    documents: Iterable[settings.TeamDocument],
    instances: Iterable[replica.InstanceRecord],
    tree_revision: ids.Revision,
    list_revision: ids.Revision,
    unknown_teams: frozenset[ids.TeamName] = _NO_TEAMS,
) -> snapshot.Snapshot:
    """Build a snapshot from all valid documents and instances.

    Parameters
    ----------
    documents : iterable of TeamDocument
        Valid documents, at most one for each team.
    instances : iterable of InstanceRecord
        Instance list; tombstones are left out.
    tree_revision, list_revision : Revision
        Revisions of the settings tree and of the instance list.
    unknown_teams : frozenset of TeamName
        Teams of which a version was rejected and none is accepted.

    Returns
    -------
    Snapshot
        Routes refer to services, and services to backend servers, of the
        same snapshot, so there are no dangling references.

    Notes
    -----
    The cost grows with the size of the fleet. After a change of a few teams
    or instances, ``apply_change`` builds an equal snapshot at a lower cost.
    """
    return apply.apply_change(
        snapshot.Snapshot(
            tree_revision=ids.Revision(0),
            list_revision=ids.Revision(0),
            routes={},
            services={},
        ),
        snapshot_change.SnapshotChange(
            tree_revision=tree_revision,
            list_revision=list_revision,
            documents=tuple(documents),
            unknown_teams=unknown_teams,
            instances=tuple(instances),
        ),
    )
