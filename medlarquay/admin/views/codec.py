"""Views as JSON."""

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
    """Encode a view or a sequence of views."""
    return json.dumps(view, default=_fields).encode()


def encode_chunks(found: Iterable[object], *, size: int) -> Iterator[bytes]:
    """Encode views as the pieces of one JSON array.

    Parameters
    ----------
    found : iterable
        Views; read as the pieces are asked for.
    size : int
        Number of views in each piece.
    """
    opening = b'['
    waiting = iter(found)
    while batch := tuple(itertools.islice(waiting, size)):
        # The brackets of the batch's own array give way to those of the
        # whole.
        yield opening + encode_view(batch)[1:-1]
        opening = b','
    yield b']' if opening == b',' else b'[]'


def decode_view(
    kind: type[_View],
    content: bytes,
    *,
    peer: str,
) -> tuple[_View, ...]:
    """Decode one view or a sequence of views.

    Parameters
    ----------
    kind : type
        Type of view.
    content : bytes
        Answer of a node.
    peer : str
        Address of the node, for errors.

    Raises
    ------
    DecodeError
        If the content is not JSON or a view has other fields.
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
