"""Decoding of a document's JSON with limits on size and nesting."""

import json
from collections.abc import Iterable, Sequence

from medlarquay import ids
from medlarquay.settings import document_value, limits

__all__ = ('load_document', 'strict_decoder')

_ROOT = 'document'


def load_document(
    *,
    team: ids.TeamName,
    content: bytes,
) -> document_value.DocumentValue:
    """Decode the bytes of a document as JSON (RFC 8259, UTF-8).

    Raises
    ------
    DocumentError
        If the document is too large, nested too deeply or not JSON, if an
        object has two members of the same name, or if a number is not
        finite.
    """
    document = document_value.DocumentValue(
        team=team,
        path=_ROOT,
        content=f'{len(content)} bytes',
    )
    if len(content) > limits.MAX_DOCUMENT_BYTES:
        raise document.error(
            f'must be at most {limits.MAX_DOCUMENT_BYTES} bytes'
        )
    try:
        tree = _parse_json(content)
    except ValueError as cause:
        raise document.error(
            f'must be JSON in UTF-8: {_excerpt(cause)}'
        ) from cause
    if _nests_deeper(tree, limits.MAX_NESTING):
        raise document.error(
            f'must be nested at most {limits.MAX_NESTING} levels deep',
        )
    return document_value.DocumentValue(team=team, path=_ROOT, content=tree)


def strict_decoder() -> json.JSONDecoder:
    """Return a JSON decoder that rejects duplicate members and ``NaN``."""
    return json.JSONDecoder(
        object_pairs_hook=_unique_members,
        parse_constant=_refuse_constant,
    )


def _parse_json(content: bytes) -> object:
    try:
        return strict_decoder().decode(content.decode())
    except RecursionError as cause:
        raise ValueError('it is nested too deeply to parse') from cause


def _unique_members(pairs: Sequence[tuple[str, object]]) -> dict[str, object]:
    members: dict[str, object] = {}
    for name, member in pairs:
        # JSON parsers differ in which of two duplicate members they keep, so
        # an operator's tool might show another value than the one in force.
        if name in members:
            raise ValueError(f'member {name!r} occurs twice in one object')
        members[name] = member
    return members


def _refuse_constant(name: str) -> object:
    raise ValueError(f'{name} is not a number in JSON')


def _excerpt(failure: ValueError) -> str:
    return ascii(str(failure)[: limits.MAX_NAME_LENGTH])[1:-1]


def _nests_deeper(tree: object, levels: int) -> bool:
    level = _containers((tree,))
    for _ in range(levels):
        level = [member for parent in level for member in _containers(parent)]
    return bool(level)


def _containers(tree: Iterable[object]) -> list[Iterable[object]]:
    members = tree.values() if isinstance(tree, dict) else tree
    return [member for member in members if isinstance(member, dict | list)]
