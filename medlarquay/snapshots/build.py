"""Building of a snapshot from documents and instances."""

from collections.abc import Iterable

from medlarquay import ids, replica, settings
from medlarquay.snapshots import apply, snapshot, snapshot_change

__all__ = ('build_snapshot',)


def build_snapshot(
    *,
    documents: Iterable[settings.TeamDocument],
    instances: Iterable[replica.InstanceRecord],
    tree_revision: ids.Revision,
    list_revision: ids.Revision,
) -> snapshot.Snapshot:
    """Build the whole configuration from accepted documents and instances.

    Parameters
    ----------
    documents : iterable of TeamDocument
        Accepted documents, at most one for each team.
    instances : iterable of InstanceRecord
        Instance list; tombstones are left out.
    tree_revision, list_revision : Revision
        Revisions that the inputs stand for.

    Returns
    -------
    Snapshot
        Routes refer to services, and services to backend servers, of the
        same snapshot, so no route can point at something unknown.

    Notes
    -----
    The cost grows with the fleet; after a change of a few teams or
    instances, ``apply_change`` gives an equal snapshot for less.
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
            instances=tuple(instances),
        ),
    )
