"""Incremental building of snapshots from the changes of a replica."""

import math

from medlarquay import ids, replica, settings, snapshots

__all__ = ('SnapshotBuilder',)


class SnapshotBuilder:
    """Builds each snapshot from the previous one and the changes since.

    Notes
    -----
    Building a whole snapshot for 8,000 backend servers delays the calls of a
    node by over 30 ms, applying a change by under 1 ms.
    """

    def __init__(self) -> None:
        self._teams: set[ids.TeamName] = set()
        self._instances: set[ids.InstanceId] = set()
        # Time before which the removal of an instance is not applied, seconds
        # on the monotonic clock.
        self._held_until: dict[ids.InstanceId, float] = {}
        self._previous: snapshots.Snapshot | None = None

    def add(
        self,
        result: replica.ApplyResult,
        *,
        hold_until: float = -math.inf,
    ) -> None:
        """Add a change that the next snapshot has to apply.

        Parameters
        ----------
        result : ApplyResult
            Keys of the records that changed.
        hold_until : float
            Time before which removals of instances in this change are not
            applied, seconds on the monotonic clock; -inf to apply them at
            once.
        """
        self._teams |= result.teams
        self._instances |= result.instances
        if hold_until > -math.inf:
            self._held_until.update(dict.fromkeys(result.instances, hold_until))

    def release(self, now: float) -> bool:
        """Release removals that are due; return whether there are any."""
        due = {name for name, until in self._held_until.items() if until <= now}
        for instance in due:
            self._held_until.pop(instance)
        self._instances |= due
        return bool(due)

    def build(self, current_replica: replica.Replica) -> snapshots.Snapshot:
        """Build the snapshot of the present state of the replica."""
        if self._previous is None:
            self._previous = _build_whole(current_replica)
        else:
            self._previous = snapshots.apply_change(
                self._previous,
                self._collect_changes(current_replica),
            )
        self._teams.clear()
        self._instances.clear()
        return self._previous

    def _collect_changes(
        self, current_replica: replica.Replica
    ) -> snapshots.SnapshotChange:
        documents: list[settings.TeamDocument] = []
        removed: list[ids.TeamName] = []
        for team in self._teams:
            document = current_replica.document(team)
            if document is None:
                removed.append(team)
            else:
                documents.append(document)
        records = [
            current_replica.instance(instance) for instance in self._instances
        ]
        return snapshots.SnapshotChange(
            tree_revision=current_replica.vector.tree_revision,
            list_revision=current_replica.vector.list_revision,
            documents=tuple(documents),
            removed_teams=tuple(removed),
            unknown_teams=current_replica.unknown_teams,
            instances=tuple(
                record
                for record in records
                if record is not None and not self._is_held_removal(record)
            ),
        )

    def _is_held_removal(self, record: replica.InstanceRecord) -> bool:
        return record.deleted and record.instance in self._held_until


def _build_whole(current_replica: replica.Replica) -> snapshots.Snapshot:
    return snapshots.build_snapshot(
        documents=current_replica.documents,
        instances=current_replica.instances,
        tree_revision=current_replica.vector.tree_revision,
        list_revision=current_replica.vector.list_revision,
        unknown_teams=current_replica.unknown_teams,
    )
