"""Records of one tree, indexed by key and by revision."""

import bisect
from collections.abc import Hashable, Iterator
from typing import Generic, Protocol, TypeVar

from medlarquay import ids
from medlarquay.replica import record_hash

__all__ = ('RecordSet',)

_MODULUS = 1 << 256
# The index is rebuilt once its superseded entries outnumber the records by
# more than this.
_MAX_EXTRA_ENTRIES = 64


class _Record(Protocol):
    @property
    def revision(self) -> ids.Revision:
        """Revision of the record."""


_Key = TypeVar('_Key', bound=Hashable)
_RecordType = TypeVar('_RecordType', bound=_Record)


class RecordSet(Generic[_Key, _RecordType]):
    """Records of one tree, indexed by key and by revision.

    Notes
    -----
    The digest is the sum of the records' hashes modulo 2**256, so a change
    costs one subtraction and one addition, independent of the number of
    records.
    """

    def __init__(self) -> None:
        self._records: dict[_Key, _RecordType] = {}
        self._index: list[tuple[ids.Revision, _Key]] = []
        self._hash_sum = 0

    def __len__(self) -> int:
        """Return the number of records, tombstones included."""
        return len(self._records)

    def __iter__(self) -> Iterator[_RecordType]:
        """Iterate over the records."""
        return iter(self._records.values())

    @property
    def hash_sum(self) -> int:
        """Sum of the hashes of all records, modulo 2**256."""
        return self._hash_sum

    def get(self, key: _Key) -> _RecordType | None:
        """Return the record with a key; None if there is none."""
        return self._records.get(key)

    def put(self, key: _Key, record: _RecordType) -> None:
        """Add a record, or replace the one with the same key."""
        held = self._records.get(key)
        removed = 0 if held is None else record_hash.record_hash(held)
        added = record_hash.record_hash(record)
        self._hash_sum = (self._hash_sum - removed + added) % _MODULUS
        self._records[key] = record
        if held is None or held.revision != record.revision:
            bisect.insort(self._index, (record.revision, key))
        if len(self._index) > 2 * len(self._records) + _MAX_EXTRA_ENTRIES:
            self._index = sorted(
                (entry.revision, name) for name, entry in self._records.items()
            )

    def newer_than(self, revision: ids.Revision) -> tuple[_RecordType, ...]:
        """Return the records newer than a revision, in order of revision."""
        start = bisect.bisect_right(
            self._index,
            revision,
            key=lambda entry: entry[0],
        )
        return tuple(
            self._records[key]
            for indexed, key in self._index[start:]
            if self._records[key].revision == indexed
        )
