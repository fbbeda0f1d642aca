"""Incremental building of a snapshot from the previous one and a change."""

from medlarquay import ids, settings
from medlarquay.snapshots import (
    bind_team,
    change_instance_list,
    snapshot,
    snapshot_change,
)

__all__ = ('apply_change',)

_Documents = dict[ids.TeamName, settings.TeamDocument]


def apply_change(
    previous: snapshot.Snapshot,
    change: snapshot_change.SnapshotChange,
) -> snapshot.Snapshot:
    """Build the snapshot that results from a change.

    Parameters
    ----------
    previous : Snapshot
        Configuration before the change; not modified.
    change : SnapshotChange
        Documents and instances that were changed or removed.

    Returns
    -------
    Snapshot
        Equal to the snapshot that ``build_snapshot`` builds from all
        documents and instances after the change. Services and routes that
        the change does not affect are the same objects as before.

    Notes
    -----
    Apart from copying the mappings, the cost depends on the size of the
    changed documents and services, and not on the size of the fleet. A change
    of instances does not depend on the number of routes.
    """
    instances = change_instance_list.change_instance_list(
        previous.instances,
        changed=change.instances,
        removed=change.removed_instances,
    )
    documents = _change_documents(previous, change)
    services = dict(previous.services)
    routes = dict(previous.routes)
    for team in _affected_teams(change):
        earlier = bind_team.binding_of(previous, team)
        for key in earlier.services:
            services.pop(key)
        for host in earlier.routes:
            routes.pop(host)
        document = documents.get(team)
        if document is not None:
            binding = bind_team.bind_team(
                document,
                earlier=earlier,
            )
            services.update(binding.services)
            routes.update(binding.routes)
    return snapshot.Snapshot(
        tree_revision=change.tree_revision,
        list_revision=change.list_revision,
        routes=routes,
        services=services,
        documents=documents,
        unknown_teams=change.unknown_teams,
        instances=instances,
    )


def _change_documents(
    previous: snapshot.Snapshot,
    change: snapshot_change.SnapshotChange,
) -> _Documents:
    documents = dict(previous.documents)
    for team in change.removed_teams:
        documents.pop(team, None)
    for document in change.documents:
        documents[document.team] = document
    return documents


def _affected_teams(
    change: snapshot_change.SnapshotChange,
) -> frozenset[ids.TeamName]:
    return frozenset((
        *(document.team for document in change.documents),
        *change.removed_teams,
    ))
