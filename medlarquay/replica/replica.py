"""Replica of the configuration: all records that a node holds."""

from collections.abc import Iterable, Iterator

from medlarquay import errors, ids, settings, states
from medlarquay.replica import (
    apply_result,
    delta,
    instance_record,
    join,
    record_set,
    team_record,
    team_records,
    version_vector,
)

__all__ = ('Replica',)

_DIGEST_BYTES = 32
_MODULUS = 1 << (8 * _DIGEST_BYTES)


class Replica:
    """Replica of the configuration: all records that a node holds.

    Records change only by their join, and the version vector only increases,
    so no order of messages can restore an older version.
    """

    def __init__(self) -> None:
        self._teams = team_records.TeamRecords()
        self._instances: record_set.RecordSet[
            ids.InstanceId, instance_record.InstanceRecord
        ] = record_set.RecordSet()
        self._vector = version_vector.VersionVector()

    @property
    def vector(self) -> version_vector.VersionVector:
        """Revisions up to which every record is held."""
        return self._vector

    @property
    def digest(self) -> ids.Digest:
        """Digest over all records."""
        hash_sum = (self._teams.hash_sum + self._instances.hash_sum) % _MODULUS
        return ids.Digest(hash_sum.to_bytes(_DIGEST_BYTES, 'big'))

    @property
    def documents(self) -> Iterable[settings.TeamDocument]:
        """Accepted documents."""
        return self._teams.documents

    @property
    def has_document(self) -> bool:
        """Whether an accepted document of any team is held."""
        return any(True for _ in self._teams.documents)

    @property
    def unknown_teams(self) -> frozenset[ids.TeamName]:
        """Teams of which a version was rejected and none is accepted."""
        return frozenset(
            record.team
            for record in self._teams
            if record.rejection and not record.accepted_revision
        )

    @property
    def teams(self) -> Iterator[team_record.TeamRecord]:
        """Team records, deleted teams included."""
        return iter(self._teams)

    @property
    def instances(self) -> tuple[instance_record.InstanceRecord, ...]:
        """Instance records without tombstones."""
        return tuple(entry for entry in self._instances if not entry.deleted)

    def document(self, team: ids.TeamName) -> settings.TeamDocument | None:
        """Return the accepted document of a team; None if there is none."""
        return self._teams.document(team)

    def instance(
        self,
        instance: ids.InstanceId,
    ) -> instance_record.InstanceRecord | None:
        """Return the record of an instance, which may be a tombstone."""
        return self._instances.get(instance)

    def apply_delta(self, offered: delta.Delta) -> apply_result.ApplyResult:
        """Join the records of a peer into the replica.

        The version vector advances only if the delta leaves no gap above it.
        Records above a gap are still joined. A difference whose base document
        is not held counts as a gap.

        Returns
        -------
        ApplyResult
            What was changed, and events for the parts that were not applied.
        """
        result = apply_result.ApplyResult()
        for record in offered.teams:
            self._join_offered(record, result)
        complete = self._join_differences(offered, result)
        for entry in offered.instances:
            self.join_instance(entry, result)
        if complete and self._vector.covers(offered.base):
            self.raise_vector(offered.reached, result)
        else:
            result.add_event(states.ReplicaEvent.DELTA_GAP)
        if offered.digest and self._differs(offered):
            result.add_event(states.ReplicaEvent.DIGEST_MISMATCH)
        return result

    def raise_vector(
        self,
        reached: version_vector.VersionVector,
        result: apply_result.ApplyResult,
    ) -> None:
        """Advance the vector: every record up to the given one is held."""
        if not self._vector.covers(reached):
            self._vector = self._vector.join(reached)
            result.vector_raised = True

    def join_team(
        self,
        offered: team_record.TeamRecord,
        result: apply_result.ApplyResult,
    ) -> None:
        """Join one validated team record; add the outcome to the result."""
        held = self._teams.get(offered.team)
        merged = offered if held is None else _join(held, offered, result)
        if merged is None or merged == held:
            return
        if merged.rejection and _is_newer(merged, held):
            result.add_event(
                states.ReplicaEvent.DOCUMENT_REJECTED,
                f'teams/{merged.team}@{merged.revision}: {merged.rejection}',
            )
        self._teams.put(merged)
        result.teams.add(merged.team)

    def join_instance(
        self,
        offered: instance_record.InstanceRecord,
        result: apply_result.ApplyResult,
    ) -> None:
        """Join one instance record; add the outcome to the result."""
        held = self._instances.get(offered.instance)
        merged = offered if held is None else _join(held, offered, result)
        if merged is None or merged == held:
            return
        self._instances.put(merged.instance, merged)
        result.instances.add(merged.instance)

    def delta_after(self, base: version_vector.VersionVector) -> delta.Delta:
        """Return all records newer than a version vector."""
        whole, differences = self._teams.newer_than(base.tree_revision)
        return delta.Delta(
            teams=whole,
            differences=differences,
            instances=self._instances.newer_than(base.list_revision),
            base=base,
            reached=self._vector,
            digest=self.digest,
        )

    def _join_offered(
        self,
        record: team_record.TeamRecord,
        result: apply_result.ApplyResult,
    ) -> None:
        checked = self._teams.check(record)
        if checked is None:
            result.add_event(
                states.ReplicaEvent.RECORD_INVALID,
                f'teams/{record.team}@{record.revision}: inconsistent record',
            )
        else:
            self.join_team(checked, result)

    def _join_differences(
        self,
        offered: delta.Delta,
        result: apply_result.ApplyResult,
    ) -> bool:
        """Join the records of differences; return whether all were usable."""
        all_usable = True
        for difference in offered.differences:
            record = self._teams.resolve(difference)
            if record is None:
                result.add_event(states.ReplicaEvent.BASE_DIFFERS)
                all_usable = False
            else:
                self._join_offered(record, result)
        return all_usable

    def _differs(self, offered: delta.Delta) -> bool:
        # Digests are comparable only between nodes with the same vector.
        same = self._vector == offered.reached
        return same and self.digest != offered.digest


def _is_newer(
    merged: team_record.TeamRecord,
    held: team_record.TeamRecord | None,
) -> bool:
    return held is None or merged.revision > held.revision


def _join(
    held: join.Joinable,
    offered: join.Joinable,
    result: apply_result.ApplyResult,
) -> join.Joinable | None:
    try:
        merged = join.join_records(held, offered)
    except errors.RevisionConflictError as conflict:
        result.add_event(states.ReplicaEvent.REVISION_CONFLICT, str(conflict))
        return None
    if offered.revision < held.revision:
        result.add_event(states.ReplicaEvent.RECORD_STALE)
    return merged
