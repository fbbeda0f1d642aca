"""Tests of values of which another writer changed a part."""

import copy
from types import MappingProxyType
from typing import Any

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from medlarquay import errors, ids, replica, settings
from medlarquay.platform import (
    backend_entry,
    operators_document,
    settings_file,
)
from medlarquay.platform.testing import published_configuration
from medlarquay.platform.tests import test_settings_file

_OWN = settings_file.parse_settings('\n'.join(test_settings_file.LINES))
_ENTRY = MappingProxyType({
    'address': '10.1.0.9:8080',
    'born': 1767380000000,
    'info': {
        'service': 'desk',
        'version': 'v1',
        'zone': 'south-a',
        'capacity': 6,
    },
    'status': {'state': 'ready', 'sequence': 4, 'warmup_left': '0ms'},
})
_CONFIGURATION = MappingProxyType({
    'version': 'r7',
    'services': published_configuration.build_table({'desk': {}, 'portal': {}}),
    'routes': published_configuration.build_table({
        'r-1': {
            'host': 'desk.example',
            'path_prefix': '/a/',
            'kind': 'once',
            'timeout': '0.8s',
            'target_latency': '400ms',
            'priority': 1,
            'attempts': 2,
            'split': [
                {'service': 'desk', 'weight': 90},
                {'service': 'portal', 'weight': 10},
            ],
        },
    }),
})
_ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=9)
    | strategies.sampled_from(['-1ms', '9' * 400 + 's', '', '10.1.0.9:0']),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=9), inner)
    ),
    max_leaves=4,
)
# Deeper than the decoder follows.
_DEEP = b'\x81' * 200_000
_fuzzed = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=400,
)


def _places(tree: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    if isinstance(tree, dict):
        members = list(tree.items())
    elif isinstance(tree, list):
        members = list(enumerate(tree))
    else:
        return [path]
    found = [path] if path else []
    for name, member in members:
        found.extend(_places(member, (*path, name)))
    return found


def _changed(found: Any, place: tuple[Any, ...], value: Any) -> bytes:
    whole = copy.deepcopy(dict(found))
    inner: Any = whole
    for name in place[:-1]:
        inner = inner[name]
    if value is _changed:
        inner.pop(place[-1])
    else:
        inner[place[-1]] = value
    return cbor2.dumps(whole)


def _accept(content: bytes) -> settings.TeamDocument:
    return settings.parse_document(
        team=ids.TeamName(settings.SHARED_TEAM),
        content=operators_document.translate_configuration(content),
    )


@_fuzzed
@hypothesis.given(
    strategies.sampled_from(_places(dict(_ENTRY))),
    strategies.just(_changed) | _ANYTHING,
)
def test_a_changed_entry_is_refused_or_names_a_usable_backend_server(
    place: tuple[Any, ...],
    value: Any,
) -> None:
    """Guards against an entry that ends the read of all others."""
    try:
        content = backend_entry.translate_entry(
            'i-1',
            _changed(_ENTRY, place, value),
            own=_OWN,
        )
    except errors.SourceError:
        return
    record = replica.parse_instance(
        content=content,
        revision=ids.Revision(3),
    )
    assert record.instance == 'i-1'
    assert record.slots >= 1
    assert record.host
    assert record.data_centre in _OWN.regions


@_fuzzed
@hypothesis.given(
    strategies.sampled_from(_places(dict(_CONFIGURATION))),
    strategies.just(_changed) | _ANYTHING,
)
def test_a_changed_configuration_is_refused_whole_or_taken_whole(
    place: tuple[Any, ...],
    value: Any,
) -> None:
    """Guards against an error of another type, which ends every later read."""
    try:
        document = _accept(_changed(_CONFIGURATION, place, value))
    except (errors.SourceError, errors.DocumentError):
        return
    for route in document.routes:
        assert route.timeout_ms > 0
        assert route.attempts > 0


def test_values_that_nest_too_deeply_are_refused() -> None:
    """Guards against one value that makes every read of the store fail."""
    with pytest.raises(errors.SourceError):
        backend_entry.translate_entry('i-1', _DEEP, own=_OWN)
    with pytest.raises(errors.SourceError):
        operators_document.translate_configuration(_DEEP)
