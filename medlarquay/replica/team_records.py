"""Team records of a replica, with their documents."""

from collections.abc import Iterable, Iterator

from medlarquay import ids, settings
from medlarquay.replica import (
    acceptance,
    record_history,
    record_set,
    team_difference,
    team_differences,
    team_record,
)

__all__ = ('TeamRecords',)


class TeamRecords:
    """Team records of a replica, with their documents and a history."""

    def __init__(self) -> None:
        self._records: record_set.RecordSet[
            ids.TeamName, team_record.TeamRecord
        ] = record_set.RecordSet()
        self._documents: dict[ids.TeamName, settings.TeamDocument] = {}
        self._history = record_history.RecordHistory()

    def __iter__(self) -> Iterator[team_record.TeamRecord]:
        """Iterate over the records, deleted teams included."""
        return iter(self._records)

    @property
    def hash_sum(self) -> int:
        """Sum of the hashes of all records, modulo 2**256."""
        return self._records.hash_sum

    @property
    def documents(self) -> Iterable[settings.TeamDocument]:
        """Accepted documents."""
        return self._documents.values()

    def get(self, team: ids.TeamName) -> team_record.TeamRecord | None:
        """Return the record of a team; None if there is none."""
        return self._records.get(team)

    def document(self, team: ids.TeamName) -> settings.TeamDocument | None:
        """Return the accepted document of a team; None if there is none."""
        return self._documents.get(team)

    def put(self, record: team_record.TeamRecord) -> None:
        """Replace the record of a team and bring its document into force."""
        held = self._records.get(record.team)
        if held is not None:
            self._history.add(held)
        self._records.put(record.team, record)
        if held is None or held.accepted_revision != record.accepted_revision:
            self._update_document(record)

    def newer_than(
        self,
        revision: ids.Revision,
    ) -> tuple[
        tuple[team_record.TeamRecord, ...],
        tuple[team_difference.TeamDifference, ...],
    ]:
        """Return the records newer than a revision.

        Returns
        -------
        tuple of TeamRecord
            Records to be sent whole.
        tuple of TeamDifference
            Records encoded as differences.
        """
        whole = []
        differences = []
        for record in self._records.newer_than(revision):
            earlier = self._history.latest_up_to(record.team, revision)
            difference = None
            if earlier is not None:
                difference = team_differences.build_difference(earlier, record)
            if difference is None:
                whole.append(record)
            else:
                differences.append(difference)
        return tuple(whole), tuple(differences)

    def resolve(
        self,
        offered: team_difference.TeamDifference,
    ) -> team_record.TeamRecord | None:
        """Return the record that a difference encodes.

        If the record held is at least as new, that record is returned. None
        means that no part of the difference can be used.
        """
        held = self._records.get(offered.team)
        if held is not None and held.revision >= offered.revision:
            return held
        return team_differences.apply_difference(held, offered)

    def check(
        self,
        offered: team_record.TeamRecord,
    ) -> team_record.TeamRecord | None:
        """Return the usable part of a peer's record; None if there is none."""
        if offered is self._records.get(offered.team):
            return offered
        return acceptance.check_record(offered)

    def _update_document(self, record: team_record.TeamRecord) -> None:
        document = acceptance.accepted_document(record)
        if document is None:
            self._documents.pop(record.team, None)
        else:
            self._documents[record.team] = document
