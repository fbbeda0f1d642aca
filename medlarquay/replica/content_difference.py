"""Differences between two versions of a document."""

import functools
from collections.abc import Iterable, Iterator

from medlarquay import settings
from medlarquay.replica import content_edit

__all__ = ('apply_edits', 'find_edits')

# Separates the entries of a compact JSON array of objects. Documents in
# another layout give longer, but correct differences.
_BOUNDARY = b'},'


# Children at the same version request the same difference.
@functools.lru_cache(maxsize=2)
def find_edits(
    base: bytes,
    content: bytes,
) -> tuple[content_edit.ContentEdit, ...]:
    """Return the edits that build a document from a base document.

    Parameters
    ----------
    base, content : bytes
        Base document and document to build (JSON).

    Returns
    -------
    tuple of ContentEdit
        Edits in the order of the document.

    Notes
    -----
    Both documents are split into entries. Runs of entries that the base
    contains in the same order are copied, as with the copy and insert
    instructions of VCDIFF (RFC 3284). The time is linear in the number of
    entries.
    """
    offsets = {}
    offset = 0
    for chunk in _chunks(base):
        offsets[chunk] = offset
        offset += len(chunk)
    edits: list[content_edit.ContentEdit] = []
    start, end = 0, 0
    inserted: list[bytes] = []
    for entry in _chunks(content):
        base_offset = offsets.get(entry)
        if base_offset is None:
            inserted.append(entry)
            continue
        if inserted or base_offset != end:
            edits.append(_edit(start, end, inserted))
            start, inserted = base_offset, []
        end = base_offset + len(entry)
    edits.append(_edit(start, end, inserted))
    return tuple(edits)


def apply_edits(
    base: bytes,
    edits: Iterable[content_edit.ContentEdit],
) -> bytes | None:
    """Build a document from a base document and edits.

    The result is limited to the size of the largest document, which bounds
    the memory that malformed edits can use.

    Returns
    -------
    bytes or None
        The document; None if the edits are malformed.
    """
    parts = []
    size = 0
    for edit in edits:
        end = edit.start + edit.length
        size += edit.length + len(edit.inserted)
        if end > len(base) or size > settings.MAX_DOCUMENT_BYTES:
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
