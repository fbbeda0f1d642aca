"""The latest call records of a node."""

import collections
from collections.abc import Iterator

from medlarquay.telemetry import call_record

__all__ = ('RecordLog',)

# About 300 bytes each, so about 1.2 MB when full.
_CAPACITY = 4096


class RecordLog:
    """Bounded in-memory log of call records; the oldest are dropped.

    Notes
    -----
    Nodes have no disk. Answers of backend servers to idempotent requests are
    not recorded, so that the records of writes and refusals are kept longer.
    """

    def __init__(self) -> None:
        self._records: collections.deque[call_record.CallRecord] = (
            collections.deque(maxlen=_CAPACITY)
        )

    def __iter__(self) -> Iterator[call_record.CallRecord]:
        """Iterate from the oldest record to the newest."""
        return iter(tuple(self._records))

    def append(self, record: call_record.CallRecord) -> None:
        """Add a record."""
        self._records.append(record)
