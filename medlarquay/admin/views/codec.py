"""JSON encoding of views."""

import dataclasses
import itertools
import json
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

from medlarquay import errors

__all__ = ('decode_view', 'encode_chunks', 'encode_view')

_View = TypeVar('_View')

_STEP = 'decode view'


def encode_view(view: object) -> bytes:
    """Encode a view or a sequence of views as JSON."""
    return json.dumps(view, default=_fields).encode()


def encode_chunks(entries: Iterable[object], *, size: int) -> Iterator[bytes]:
    """Encode views as one JSON array, in chunks.

    Parameters
    ----------
    entries : iterable
        Views; read lazily, as the chunks are consumed.
    size : int
        Maximum number of views in a chunk.
    """
    prefix = b'['
    remaining = iter(entries)
    while batch := tuple(itertools.islice(remaining, size)):
        # The batch is encoded as an array; its brackets are cut off, so that
        # all batches form one array.
        yield prefix + encode_view(batch)[1:-1]
        prefix = b','
    yield b']' if prefix == b',' else b'[]'


def decode_view(
    kind: type[_View],
    content: bytes,
    *,
    peer: str,
) -> tuple[_View, ...]:
    """Decode one view or an array of views from JSON.

    Parameters
    ----------
    kind : type
        Type of view.
    content : bytes
        Body of the HTTP response of a node.
    peer : str
        Address of the node, for error messages.

    Raises
    ------
    DecodeError
        If the content is not JSON or the fields are not those of the view.
    """
    try:
        tree = json.loads(content)
    except (ValueError, RecursionError) as cause:
        raise errors.DecodeError(
            f'answer is not JSON: {cause}',
            step=_STEP,
            peer=peer,
        ) from cause
    entries = tree if isinstance(tree, list) else [tree]
    return tuple(_decode_entry(kind, entry, peer) for entry in entries)


def _decode_entry(kind: type[_View], entry: object, peer: str) -> _View:
    if isinstance(entry, dict):
        try:
            return kind(**entry)
        except TypeError as cause:
            raise errors.DecodeError(
                f'answer is no {kind.__name__}: {cause}',
                step=_STEP,
                peer=peer,
            ) from cause
    raise errors.DecodeError(
        f'answer is no {kind.__name__}',
        step=_STEP,
        peer=peer,
    )


def _fields(view: Any) -> dict[str, object]:
    # dataclasses.asdict copies deeply and takes four times as long.
    return {
        field.name: getattr(view, field.name)
        for field in dataclasses.fields(view)
    }
