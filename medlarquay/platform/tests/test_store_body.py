"""Tests of the bodies of the platform's store."""

import pathlib
import tomllib
from collections.abc import Callable
from typing import Any

import cbor2
import pytest

from medlarquay import errors
from medlarquay.platform import column_table, store_body

_WIRE = pathlib.Path(__file__).parents[3] / 'deploy' / 'wire.toml'
_TAGS = (*range(400), 1004, 43000, 55799)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\x1a',
        b'\xff',
        b'\x01\x02',
        b'\x9b' + b'\xff' * 8,
        b'\x81' * 100_000,
        cbor2.dumps({'at': 1}) + b'\x00',
        b'\xa2\x61a\x01\x61a\x02',
        b'\x61\xff',
    ],
)
def test_a_malformed_body_is_a_typed_error(content: bytes) -> None:
    """Guards against a body of which a part is taken for the whole."""
    with pytest.raises(errors.SourceError):
        store_body.decode_body(content)


@pytest.mark.parametrize('inner', [1, 'a', b'a', [1], [1, 2]])
def test_tags_are_refused(inner: object) -> None:
    """Guards against a short body that stands for one without end."""
    for tag in _TAGS:
        with pytest.raises(errors.SourceError):
            store_body.decode_body(cbor2.dumps(cbor2.CBORTag(tag, inner)))


@pytest.mark.parametrize(
    'change',
    [
        lambda table: table.update(columns=['name', 'name']),
        lambda table: table.update(columns=['other', 'size']),
        lambda table: table.update(columns='ab'),
        lambda table: table.update(columns=['name', 7]),
        lambda table: table.update(rows={}),
        lambda table: table['rows'].append('ab'),
        lambda table: table['rows'].append(['b']),
        lambda table: table['rows'].append(['b', 1, 2]),
        lambda table: table['rows'].append(['a', 2]),
        lambda table: table['rows'].append([7, 2]),
        lambda table: table.pop('rows'),
    ],
)
def test_a_malformed_table_is_refused_whole(
    change: Callable[[dict[str, Any]], None],
) -> None:
    """Guards against fields that are read from another column."""
    table = {'columns': ['name', 'size'], 'rows': [['a', 1]]}
    assert column_table.read_table(table).entry('a') == {'name': 'a', 'size': 1}
    change(table)
    with pytest.raises((KeyError, TypeError, ValueError)):
        column_table.read_table(table)


def test_the_platform_publishes_what_is_read_here() -> None:
    """Guards against a deploy file that asks for another shape."""
    chosen = tomllib.loads(_WIRE.read_text(encoding='utf-8'))
    assert chosen == {
        'body': 'cbor',
        'words': {'idempotent': 'repeat', 'non_idempotent': 'once'},
        'shape': {'config': 'columns'},
    }
