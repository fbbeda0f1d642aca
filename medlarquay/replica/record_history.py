"""Recently replaced team records."""

import collections

from medlarquay import ids
from medlarquay.replica import team_record

__all__ = ('RecordHistory',)

# Children lag by only a few versions under continuous changes.
_MAX_RECORDS = 8
# 4 MB of the 64 MB that a node may use in total.
_MAX_BYTES = 1 << 22
# Without an earlier record, each change of a large document would be sent whole
# to each child.
_MIN_RECORDS = 1


class RecordHistory:
    """Recently replaced team records, bounded in number and bytes."""

    def __init__(self) -> None:
        self._records: collections.deque[team_record.TeamRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def add(self, record: team_record.TeamRecord) -> None:
        """Add a replaced record and evict the oldest ones beyond the bounds."""
        self._records.append(record)
        self._bytes += len(record.content)
        while self._exceeds_bounds():
            self._bytes -= len(self._records.popleft().content)

    def latest_up_to(
        self,
        team: ids.TeamName,
        revision: ids.Revision,
    ) -> team_record.TeamRecord | None:
        """Return the newest kept record of a team up to a revision, or None."""
        for record in reversed(self._records):
            if record.team == team and record.revision <= revision:
                return record
        return None

    def _exceeds_bounds(self) -> bool:
        kept = len(self._records)
        return kept > _MAX_RECORDS or (
            kept > _MIN_RECORDS and self._bytes > _MAX_BYTES
        )
