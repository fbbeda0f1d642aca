"""Property-based tests of stored values in which one part was changed."""

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

_OWN_SETTINGS = settings_file.parse_settings(
    '\n'.join(test_settings_file.LINES)
)
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
# Nested more deeply than the decoder supports.
_DEEP = b'\x81' * 200_000
_fuzzed = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=400,
)


def _paths(tree: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    if isinstance(tree, dict):
        members = list(tree.items())
    elif isinstance(tree, list):
        members = list(enumerate(tree))
    else:
        return [path]
    paths = [path] if path else []
    for name, member in members:
        paths.extend(_paths(member, (*path, name)))
    return paths


def _replace_part(original: Any, path: tuple[Any, ...], value: Any) -> bytes:
    changed = copy.deepcopy(dict(original))
    inner: Any = changed
    for name in path[:-1]:
        inner = inner[name]
    # The function itself stands for the removal of the part.
    if value is _replace_part:
        inner.pop(path[-1])
    else:
        inner[path[-1]] = value
    return cbor2.dumps(changed)


def _parse_configuration(content: bytes) -> settings.TeamDocument:
    return settings.parse_document(
        team=ids.TeamName(settings.SHARED_TEAM),
        content=operators_document.translate_configuration(content),
    )


@_fuzzed
@hypothesis.given(
    strategies.sampled_from(_paths(dict(_ENTRY))),
    strategies.just(_replace_part) | _ANYTHING,
)
def test_changed_entry_is_refused_or_names_a_usable_backend_server(
    path: tuple[Any, ...],
    value: Any,
) -> None:
    """Guards against one bad entry that makes the read of all entries fail."""
    try:
        content = backend_entry.translate_entry(
            'i-1',
            _replace_part(_ENTRY, path, value),
            own_settings=_OWN_SETTINGS,
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
    assert record.data_centre in _OWN_SETTINGS.regions


@_fuzzed
@hypothesis.given(
    strategies.sampled_from(_paths(dict(_CONFIGURATION))),
    strategies.just(_replace_part) | _ANYTHING,
)
def test_changed_configuration_is_refused_or_accepted_as_a_whole(
    path: tuple[Any, ...],
    value: Any,
) -> None:
    """Guards against an untyped error, which would end all later reads."""
    try:
        document = _parse_configuration(
            _replace_part(_CONFIGURATION, path, value)
        )
    except (errors.SourceError, errors.DocumentError):
        return
    for route in document.routes:
        assert route.timeout_ms > 0
        assert route.attempts > 0


def test_too_deeply_nested_values_are_refused() -> None:
    """Guards against one deeply nested value that makes every read fail."""
    with pytest.raises(errors.SourceError):
        backend_entry.translate_entry('i-1', _DEEP, own_settings=_OWN_SETTINGS)
    with pytest.raises(errors.SourceError):
        operators_document.translate_configuration(_DEEP)
