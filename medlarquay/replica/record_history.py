"""Team records that were replaced lately."""

import collections

from medlarquay import ids
from medlarquay.replica import team_record

__all__ = ('RecordHistory',)

# A child that takes part in a storm of changes is a few versions behind.
_MAX_RECORDS = 8
# A node may use 64 MB in all.
_MAX_BYTES = 1 << 22


class RecordHistory:
    """Team records that were replaced lately, within bounds of memory."""

    def __init__(self) -> None:
        self._records: collections.deque[team_record.TeamRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def add(self, record: team_record.TeamRecord) -> None:
        """Keep a record that was replaced; forget the oldest ones."""
        self._records.append(record)
        self._bytes += len(record.content)
        while len(self._records) > _MAX_RECORDS or self._bytes > _MAX_BYTES:
            self._bytes -= len(self._records.popleft().content)

    def before(
        self,
        team: ids.TeamName,
        revision: ids.Revision,
    ) -> team_record.TeamRecord | None:
        """Return the last record of a team up to a revision, if it is kept."""
        for record in reversed(self._records):
            if record.team == team and record.revision <= revision:
                return record
        return None
