"""Tests of the source on top of the platform's store."""

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

_OWN_SETTINGS = settings_file.parse_settings(
    '\n'.join(test_settings_file.LINES)
)


class ScriptedStore:
    """Store that answers calls from a script, in order."""

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
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


def _item(key: str, content: object, revision: int = 5) -> dict[str, object]:
    encoded = base64.b64encode(cbor2.dumps(content)).decode()
    return {'key': key, 'value': encoded, 'revision': revision}


def _server_item(name: str) -> dict[str, object]:
    return _item(
        f'servers/{name}',
        {
            'address': '10.1.0.9:8080',
            'info': {'service': 'desk', 'zone': 'south-a', 'capacity': 6},
            'status': {'state': 'ready'},
        },
    )


def _fetch_once(
    store: ScriptedStore,
    tree: replica.SourceTree,
    after: int,
) -> Any:
    return _fetch(_build_fetcher(store), tree, after)


def _build_fetcher(store: ScriptedStore) -> store_fetcher.StoreFetcher:
    return store_fetcher.StoreFetcher(
        client=store,  # type: ignore[arg-type]
        own_settings=_OWN_SETTINGS,
    )


def _fetch(
    fetcher: store_fetcher.StoreFetcher,
    tree: replica.SourceTree,
    after: int,
) -> Any:
    reading = fetcher.fetch(tree, after=ids.Revision(after), wait_ms=1000)
    answers: list[Any] = []
    failures: list[Any] = []
    defer.ensureDeferred(reading).addCallbacks(answers.append, failures.append)
    if failures:
        failures[0].raiseException()
    return json.loads(answers[0])


def test_first_read_lists_all_pages() -> None:
    """Guards against a list that misses the entries beyond the first page."""
    store = ScriptedStore(
        {'items': [_server_item('a')], 'has_more': True, 'at': 7},
        {'items': [_server_item('b')], 'has_more': False, 'at': 9},
    )
    answer = _fetch_once(store, replica.SourceTree.INSTANCES, 0)
    assert [entry['key'] for entry in answer['entries']] == ['a', 'b']
    # A change between the pages is newer than the first page.
    assert (answer['revision'], answer['whole']) == (7, True)
    assert store.calls[1][1]['after'] == 'servers/a'


def test_later_reads_use_a_watch() -> None:
    """Guards against listing the whole tree at each change."""
    deleted = {'key': 'servers/a', 'revision': 11, 'is_deleted': True}
    store = ScriptedStore({'events': [deleted], 'at': 11})
    answer = _fetch_once(store, replica.SourceTree.INSTANCES, 7)
    assert answer == {
        'revision': 11,
        'entries': [{'key': 'a', 'revision': 11, 'value': None}],
    }


def test_dropped_history_is_followed_by_a_list() -> None:
    """Guards against missing the changes of a dropped history for good."""
    store = ScriptedStore(
        errors.SourceError('gone', step='call', status=410),
        {'items': [_server_item('b')], 'has_more': False, 'at': 30},
    )
    answer = _fetch_once(store, replica.SourceTree.INSTANCES, 7)
    assert (answer['revision'], answer['whole']) == (30, True)


def test_refused_watch_is_not_followed_by_a_list() -> None:
    """Guards against a list after each refused watch of a busy store."""
    store = ScriptedStore(errors.SourceError('busy', step='call', status=503))
    with pytest.raises(errors.SourceError, match='busy'):
        _fetch_once(store, replica.SourceTree.INSTANCES, 7)
    assert len(store.calls) == 1


def test_malformed_entry_is_read_as_deleted() -> None:
    """Guards against one malformed entry that makes the read of all fail."""
    store = ScriptedStore({
        'items': [
            _item('servers/x', {'address': 1}),
            {'key': 'servers/y', 'value': '***', 'revision': 5},
            _server_item('a'),
        ],
        'has_more': False,
        'at': 7,
    })
    answer = _fetch_once(store, replica.SourceTree.INSTANCES, 0)
    values = {entry['key']: entry['value'] for entry in answer['entries']}
    assert values['x'] is None
    assert values['y'] is None
    assert values['a'] is not None


def test_malformed_configuration_is_passed_on_as_unreadable() -> None:
    """Guards against a malformed configuration that counts as a deletion."""
    store = ScriptedStore({
        'items': [_item('op/config', {'routes': 1}), _item('op/other', {})],
        'has_more': False,
        'at': 7,
    })
    answer = _fetch_once(store, replica.SourceTree.TEAMS, 0)
    assert [entry['key'] for entry in answer['entries']] == ['operators']
    assert answer['entries'][0]['value'] == 'unreadable'


def test_failed_watch_is_followed_by_lists_until_nothing_changes() -> None:
    """Guards against a watch whose answer is too large for the link.

    A watch returns all versions since the last read. When its answer times
    out, repeating the watch would time out again.
    """
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
        own_settings=_OWN_SETTINGS,
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
        # Nothing has changed since, so the reader is no longer behind.
        '/kv-range',
        '/kv-watch',
    ]


def _configuration_item(*timeouts: str, revision: int) -> dict[str, object]:
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
        {
            'events': [_configuration_item('1s', '2s', '3s', revision=8)],
            'at': 8,
        },
        {
            'events': [_configuration_item('1s', '4s', '3s', revision=9)],
            'at': 9,
        },
    )
    fetcher = _build_fetcher(store)
    _fetch(fetcher, replica.SourceTree.TEAMS, 7)
    parsed = _count_durations(monkeypatch)
    answer = _fetch(fetcher, replica.SourceTree.TEAMS, 8)
    routes = json.loads(answer['entries'][0]['value'])['routes']
    assert [route['timeout_ms'] for route in routes] == [1000, 4000, 3000]
    assert len(parsed) == 2


def test_superseded_versions_are_not_translated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against translating each version of a burst of changes."""
    store = ScriptedStore({
        'events': [
            _configuration_item('1s', revision=8),
            _configuration_item('2s', revision=9),
            _configuration_item('3s', revision=11),
        ],
        'at': 11,
    })
    parsed = _count_durations(monkeypatch)
    answer = _fetch(_build_fetcher(store), replica.SourceTree.TEAMS, 7)
    assert [entry['revision'] for entry in answer['entries']] == [11]
    assert len(parsed) == 2


def test_watch_with_several_versions_is_followed_by_a_list() -> None:
    """Guards against a burst of versions that exceeds a slow link."""
    versions = [_configuration_item('1s', revision=number) for number in (8, 9)]
    listed = {'items': versions[-1:], 'has_more': False, 'at': 9}
    store = ScriptedStore({'events': versions, 'at': 9}, listed)
    fetcher = _build_fetcher(store)
    for after in (7, 9):
        _fetch(fetcher, replica.SourceTree.TEAMS, after)
    assert [path for path, _ in store.calls] == ['/kv-watch', '/kv-range']
