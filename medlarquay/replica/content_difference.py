"""Differences of two documents."""

import functools
from collections.abc import Iterable, Iterator

from medlarquay.replica import content_edit

__all__ = ('apply_edits', 'find_edits')

# Ends most entries of a compact JSON array of objects. Other documents give
# longer differences, no wrong ones.
_BOUNDARY = b'},'
#: The source holds values up to 1 MB.
_MAX_BYTES = 1 << 20


# Groups of children at one version ask for the same difference.
@functools.lru_cache(maxsize=2)
def find_edits(
    base: bytes,
    content: bytes,
) -> tuple[content_edit.ContentEdit, ...]:
    """Return how a document is built from another one.

    Notes
    -----
    Both are cut into entries. Runs of entries that the base holds in the
    same order are copied, in the manner of the copy and insert instructions
    of VCDIFF (RFC 3284); the time grows with the number of entries.
    """
    places = {}
    place = 0
    for chunk in _chunks(base):
        places[chunk] = place
        place += len(chunk)
    edits: list[content_edit.ContentEdit] = []
    start, end = 0, 0
    inserted: list[bytes] = []
    for found in _chunks(content):
        at = places.get(found)
        if at is None:
            inserted.append(found)
            continue
        if inserted or at != end:
            edits.append(_edit(start, end, inserted))
            start, inserted = at, []
        end = at + len(found)
    edits.append(_edit(start, end, inserted))
    return tuple(edits)


def apply_edits(
    base: bytes,
    edits: Iterable[content_edit.ContentEdit],
) -> bytes | None:
    """Return the document that edits build; None if they are malformed.

    No more than the largest document is ever held in memory.
    """
    parts = []
    size = 0
    for edit in edits:
        end = edit.start + edit.length
        size += edit.length + len(edit.inserted)
        if end > len(base) or size > _MAX_BYTES:
            return None
        parts.append(base[edit.start : end])
        parts.append(edit.inserted)
    return b''.join(parts)


def _chunks(content: bytes) -> Iterator[bytes]:
    chunks = content.split(_BOUNDARY)
    for chunk in chunks[:-1]:
        yield chunk + _BOUNDARY
    yield chunks[-1]


def _edit(
    start: int,
    end: int,
    inserted: list[bytes],
) -> content_edit.ContentEdit:
    return content_edit.ContentEdit(
        start=start,
        length=end - start,
        inserted=b''.join(inserted),
    )
