"""Tests of reads of the platform's store."""

import base64
import json
from collections.abc import Mapping
from typing import Any

import cbor2
import pytest
from twisted.internet import defer

from medlarquay import errors, ids, replica
from medlarquay.platform import duration, settings_file, store_fetcher
from medlarquay.platform.testing import published_configuration
from medlarquay.platform.tests import test_settings_file

_OWN = settings_file.parse_settings('\n'.join(test_settings_file.LINES))


class ScriptedStore:
    """Answers calls in the order of a script."""

    def __init__(self, *script: object) -> None:
        self.calls: list[tuple[str, dict[str, object]]] = []
        self._script = list(script)

    async def get(
        self,
        path: str,
        query: Mapping[str, object],
        *,
        timeout_s: float,
    ) -> Any:
        """Return or raise the next entry of the script."""
        self.calls.append((path, dict(query)))
        found = self._script.pop(0)
        if isinstance(found, Exception):
            raise found
        return found


def _item(key: str, content: object, revision: int = 5) -> dict[str, object]:
    encoded = base64.b64encode(cbor2.dumps(content)).decode()
    return {'key': key, 'value': encoded, 'revision': revision}


def _server(name: str) -> dict[str, object]:
    return _item(
        f'servers/{name}',
        {
            'address': '10.1.0.9:8080',
            'info': {'service': 'desk', 'zone': 'south-a', 'capacity': 6},
            'status': {'state': 'ready'},
        },
    )


def _fetch(
    store: ScriptedStore,
    tree: replica.SourceTree,
    after: int,
) -> Any:
    return _read(_fetcher(store), tree, after)


def _fetcher(store: ScriptedStore) -> store_fetcher.StoreFetcher:
    return store_fetcher.StoreFetcher(
        client=store,  # type: ignore[arg-type]
        own=_OWN,
    )


def _read(
    fetcher: store_fetcher.StoreFetcher,
    tree: replica.SourceTree,
    after: int,
) -> Any:
    reading = fetcher.fetch(tree, after=ids.Revision(after), wait_ms=1000)
    found: list[Any] = []
    failed: list[Any] = []
    defer.ensureDeferred(reading).addCallbacks(found.append, failed.append)
    if failed:
        failed[0].raiseException()
    return json.loads(found[0])


def test_the_first_read_lists_all_pages() -> None:
    """Guards against backend servers beyond the first page."""
    store = ScriptedStore(
        {'items': [_server('a')], 'has_more': True, 'at': 7},
        {'items': [_server('b')], 'has_more': False, 'at': 9},
    )
    found = _fetch(store, replica.SourceTree.INSTANCES, 0)
    assert [entry['key'] for entry in found['entries']] == ['a', 'b']
    # A change between the pages is newer than the first page.
    assert (found['revision'], found['whole']) == (7, True)
    assert store.calls[1][1]['after'] == 'servers/a'


def test_later_reads_watch() -> None:
    """Guards against a list at each change."""
    gone = {'key': 'servers/a', 'revision': 11, 'is_deleted': True}
    store = ScriptedStore({'events': [gone], 'at': 11})
    found = _fetch(store, replica.SourceTree.INSTANCES, 7)
    assert found == {
        'revision': 11,
        'entries': [{'key': 'a', 'revision': 11, 'value': None}],
    }


def test_without_history_all_is_listed_again() -> None:
    """Guards against changes that were missed for good."""
    store = ScriptedStore(
        errors.SourceError('gone', step='call', status=410),
        {'items': [_server('b')], 'has_more': False, 'at': 30},
    )
    found = _fetch(store, replica.SourceTree.INSTANCES, 7)
    assert (found['revision'], found['whole']) == (30, True)


def test_a_refusal_is_passed_on() -> None:
    """Guards against a list that every refused watch costs."""
    store = ScriptedStore(errors.SourceError('busy', step='call', status=503))
    with pytest.raises(errors.SourceError, match='busy'):
        _fetch(store, replica.SourceTree.INSTANCES, 7)
    assert len(store.calls) == 1


def test_a_malformed_entry_names_no_backend_server() -> None:
    """Guards against one entry that holds back the others."""
    store = ScriptedStore({
        'items': [
            _item('servers/x', {'address': 1}),
            {'key': 'servers/y', 'value': '***', 'revision': 5},
            _server('a'),
        ],
        'has_more': False,
        'at': 7,
    })
    found = _fetch(store, replica.SourceTree.INSTANCES, 0)
    values = {entry['key']: entry['value'] for entry in found['entries']}
    assert values['x'] is None
    assert values['y'] is None
    assert values['a'] is not None


def test_a_malformed_configuration_is_left_to_the_product_to_reject() -> None:
    """Guards against a malformed configuration taken for a deletion."""
    store = ScriptedStore({
        'items': [_item('op/config', {'routes': 1}), _item('op/other', {})],
        'has_more': False,
        'at': 7,
    })
    found = _fetch(store, replica.SourceTree.TEAMS, 0)
    assert [entry['key'] for entry in found['entries']] == ['operators']
    assert found['entries'][0]['value'] == 'unreadable'


def test_a_reader_that_is_behind_reads_the_newest_version_only() -> None:
    """Guards against a watch that brings more versions than can arrive."""
    configuration = _item('op/config', {'version': 'r9'}, revision=30)
    listed = {'items': [configuration], 'has_more': False, 'at': 30}
    store = ScriptedStore(
        errors.SourceError('no answer in time', step='call'),
        listed,
        listed,
        {'events': [], 'at': 30},
    )
    fetcher = store_fetcher.StoreFetcher(
        client=store,  # type: ignore[arg-type]
        own=_OWN,
    )
    for after in (7, 7, 30, 30):
        reading = fetcher.fetch(
            replica.SourceTree.TEAMS,
            after=ids.Revision(after),
            wait_ms=1000,
        )
        defer.ensureDeferred(reading).addErrback(lambda failure: None)
    assert [path for path, _ in store.calls] == [
        '/kv-watch',
        '/kv-range',
        # Nothing changed since, so the reader is no longer behind.
        '/kv-range',
        '/kv-watch',
    ]


def _configuration(*timeouts: str, revision: int) -> dict[str, object]:
    return _item(
        'op/config',
        {
            'services': published_configuration.build_table({'desk': {}}),
            'routes': published_configuration.build_table({
                f'r-{number}': {
                    'host': 'desk.example',
                    'path_prefix': f'/{number}/',
                    'kind': 'repeat',
                    'timeout': timeout,
                    'target_latency': '400ms',
                    'priority': 1,
                    'attempts': 2,
                    'service': 'desk',
                }
                for number, timeout in enumerate(timeouts)
            }),
        },
        revision,
    )


def _count_durations(
    monkeypatch: pytest.MonkeyPatch,
) -> list[str]:
    parsed: list[str] = []
    parse = duration.parse_duration_ms

    def count(text: object, *, field: str) -> int:
        parsed.append(field)
        return parse(text, field=field)

    monkeypatch.setattr(duration, 'parse_duration_ms', count)
    return parsed


def test_only_changed_routes_are_translated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against translating 1,400 routes for a change of one."""
    store = ScriptedStore(
        {'events': [_configuration('1s', '2s', '3s', revision=8)], 'at': 8},
        {'events': [_configuration('1s', '4s', '3s', revision=9)], 'at': 9},
    )
    fetcher = _fetcher(store)
    _read(fetcher, replica.SourceTree.TEAMS, 7)
    parsed = _count_durations(monkeypatch)
    found = _read(fetcher, replica.SourceTree.TEAMS, 8)
    routes = json.loads(found['entries'][0]['value'])['routes']
    assert [route['timeout_ms'] for route in routes] == [1000, 4000, 3000]
    assert len(parsed) == 2


def test_superseded_versions_are_not_translated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against translating each version of a storm of changes."""
    store = ScriptedStore({
        'events': [
            _configuration('1s', revision=8),
            _configuration('2s', revision=9),
            _configuration('3s', revision=11),
        ],
        'at': 11,
    })
    parsed = _count_durations(monkeypatch)
    found = _read(_fetcher(store), replica.SourceTree.TEAMS, 7)
    assert [entry['revision'] for entry in found['entries']] == [11]
    assert len(parsed) == 2


def test_a_watch_that_brings_several_versions_is_followed_by_a_list() -> None:
    """Guards against a storm of changes that a slow link cannot carry."""
    versions = [_configuration('1s', revision=number) for number in (8, 9)]
    listed = {'items': versions[-1:], 'has_more': False, 'at': 9}
    store = ScriptedStore({'events': versions, 'at': 9}, listed)
    fetcher = _fetcher(store)
    for after in (7, 9):
        _read(fetcher, replica.SourceTree.TEAMS, after)
    assert [path for path, _ in store.calls] == ['/kv-watch', '/kv-range']
