"""Tests of the bodies of the platform's store."""

import pathlib
import tomllib
from collections.abc import Callable
from typing import Any

import cbor2
import pytest

from medlarquay import errors
from medlarquay.platform import column_table, store_body

_WIRE_FILE = pathlib.Path(__file__).parents[3] / 'deploy' / 'wire.toml'
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
def test_malformed_body_raises_a_source_error(content: bytes) -> None:
    """Guards against a truncated or padded body that is accepted in part."""
    with pytest.raises(errors.SourceError):
        store_body.decode_body(content)


@pytest.mark.parametrize('inner', [1, 'a', b'a', [1], [1, 2]])
def test_tags_are_refused(inner: object) -> None:
    """Guards against a short body that expands until it fills the memory."""
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
def test_malformed_table_is_refused(
    change: Callable[[dict[str, Any]], None],
) -> None:
    """Guards against a field that is read from the wrong column."""
    table = {'columns': ['name', 'size'], 'rows': [['a', 1]]}
    assert column_table.read_table(table).entry('a') == {'name': 'a', 'size': 1}
    change(table)
    with pytest.raises((KeyError, TypeError, ValueError)):
        column_table.read_table(table)


def test_deploy_file_requests_the_decoded_format() -> None:
    """Guards against a deploy file that requests another format."""
    wire_format = tomllib.loads(_WIRE_FILE.read_text(encoding='utf-8'))
    assert wire_format == {
        'body': 'cbor',
        'words': {'idempotent': 'repeat', 'non_idempotent': 'once'},
        'shape': {'config': 'columns'},
    }
