"""Snapshots that follow the changes of a replica."""

from medlarquay import ids, replica, settings, snapshots

__all__ = ('SnapshotBuilder',)


class SnapshotBuilder:
    """Builds each snapshot from the one before and what changed since.

    Notes
    -----
    A whole build for 8,000 backend servers holds up the calls of a node for
    over 30 ms, a change for under 1 ms.
    """

    def __init__(self) -> None:
        self._teams: set[ids.TeamName] = set()
        self._instances: set[ids.InstanceId] = set()
        self._previous: snapshots.Snapshot | None = None

    def note(self, change: replica.Change) -> None:
        """Remember what the next snapshot has to take over."""
        self._teams |= change.teams
        self._instances |= change.instances

    def build(self, held: replica.Replica) -> snapshots.Snapshot:
        """Return the snapshot of what the replica holds."""
        if self._previous is None:
            self._previous = _build_whole(held)
        else:
            self._previous = snapshots.apply_change(
                self._previous,
                self._changes(held),
            )
        self._teams.clear()
        self._instances.clear()
        return self._previous

    def _changes(self, held: replica.Replica) -> snapshots.SnapshotChange:
        documents: list[settings.TeamDocument] = []
        removed: list[ids.TeamName] = []
        for team in self._teams:
            document = held.document(team)
            if document is None:
                removed.append(team)
            else:
                documents.append(document)
        records = map(held.instance, self._instances)
        return snapshots.SnapshotChange(
            tree_revision=held.vector.tree_revision,
            list_revision=held.vector.list_revision,
            documents=tuple(documents),
            removed_teams=tuple(removed),
            instances=tuple(record for record in records if record is not None),
        )


def _build_whole(held: replica.Replica) -> snapshots.Snapshot:
    return snapshots.build_snapshot(
        documents=held.documents,
        instances=held.instances,
        tree_revision=held.vector.tree_revision,
        list_revision=held.vector.list_revision,
    )
