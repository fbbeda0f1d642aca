"""All team records with their documents."""

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
    """All team records with their documents and those replaced lately."""

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
    def total(self) -> int:
        """Sum of the tokens of all records."""
        return self._records.total

    @property
    def documents(self) -> Iterable[settings.TeamDocument]:
        """Accepted documents."""
        return self._documents.values()

    def get(self, team: ids.TeamName) -> team_record.TeamRecord | None:
        """Return the record of a team."""
        return self._records.get(team)

    def document(self, team: ids.TeamName) -> settings.TeamDocument | None:
        """Return the accepted document of a team, if any."""
        return self._documents.get(team)

    def put(self, record: team_record.TeamRecord) -> None:
        """Replace the record of a team and bring its document into force."""
        held = self._records.get(record.team)
        if held is not None:
            self._history.add(held)
        self._records.put(record.team, record)
        if held is None or held.accepted_revision != record.accepted_revision:
            self._bring_into_force(record)

    def newer_than(
        self,
        revision: ids.Revision,
    ) -> tuple[
        tuple[team_record.TeamRecord, ...],
        tuple[team_difference.TeamDifference, ...],
    ]:
        """Return newer records: whole ones, and those told by a difference."""
        whole = []
        differences = []
        for record in self._records.newer_than(revision):
            earlier = self._history.before(record.team, revision)
            difference = None
            if earlier is not None:
                difference = team_differences.difference_of(earlier, record)
            if difference is None:
                whole.append(record)
            else:
                differences.append(difference)
        return tuple(whole), tuple(differences)

    def resolve(
        self,
        offered: team_difference.TeamDifference,
    ) -> team_record.TeamRecord | None:
        """Return the record that a difference stands for.

        It is the record held if that is as new. None means that nothing of
        the difference can be used.
        """
        held = self._records.get(offered.team)
        if held is not None and held.revision >= offered.revision:
            return held
        return team_differences.record_from(held, offered)

    def check(
        self,
        offered: team_record.TeamRecord,
    ) -> team_record.TeamRecord | None:
        """Return what can be used of a peer's record; None if nothing."""
        if offered is self._records.get(offered.team):
            return offered
        return acceptance.check_record(offered)

    def _bring_into_force(self, record: team_record.TeamRecord) -> None:
        document = acceptance.document_of(record)
        if document is None:
            self._documents.pop(record.team, None)
        else:
            self._documents[record.team] = document
