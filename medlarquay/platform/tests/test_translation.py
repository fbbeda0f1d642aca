"""Tests of the translation of values of the platform's store."""

import contextlib
import json
from types import MappingProxyType

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from medlarquay import errors, ids, replica, settings, states
from medlarquay.platform import (
    backend_entry,
    duration,
    operators_document,
    settings_file,
)
from medlarquay.platform.testing import published_configuration
from medlarquay.platform.tests import test_settings_file

_OWN_SETTINGS = settings_file.parse_settings(
    '\n'.join(test_settings_file.LINES)
)
_TABLE = MappingProxyType({'columns': ['name'], 'rows': []})
_ROUTE = MappingProxyType({
    'host': 'Desk.example',
    'path_prefix': '/a/',
    'kind': 'once',
    'timeout': '0.8s',
    'target_latency': '400ms',
    'priority': 1,
    'service': 'desk',
    'attempts': 2,
})
_ENTRY = MappingProxyType({
    'address': '10.1.0.9:8080',
    'info': {
        'service': 'desk',
        'version': 'v1',
        'zone': 'south-a',
        'capacity': 6,
    },
    'status': {'state': 'ready', 'sequence': 4, 'warmup_left': '0ms'},
})


def _translate_route(**changes: object) -> settings.TeamDocument:
    document = operators_document.translate_configuration(
        published_configuration.encode_configuration(
            {'r-1': {**_ROUTE, **changes}},
            ('desk', 'portal'),
        ),
    )
    return settings.parse_document(
        team=ids.TeamName(settings.SHARED_TEAM),
        content=document,
    )


def test_route_is_translated() -> None:
    """Guards against repeating a request that must run at most once."""
    route = _translate_route().routes[0]
    assert (route.host, route.path_prefix) == ('desk.example', '/a/')
    assert route.idempotent_methods == ()
    assert (route.timeout_ms, route.target_ms, route.attempts) == (800, 400, 2)
    assert route.rank is states.Rank.NORMAL


@pytest.mark.parametrize('kind', ['repeat', 'download'])
def test_all_methods_of_a_repeatable_kind_are_idempotent(kind: str) -> None:
    """Guards against deciding by the method whether to repeat a request."""
    methods = _translate_route(kind=kind).routes[0].idempotent_methods
    assert 'POST' in methods


def test_split_keeps_its_weights() -> None:
    """Guards against a split that sends all requests to one service."""
    parts = [
        {'service': 'portal', 'weight': 90},
        {'service': 'desk', 'weight': 10},
    ]
    route = _translate_route(split=parts).routes[0]
    assert [(part.service, part.weight) for part in route.split] == [
        ('portal', 90),
        ('desk', 10),
    ]


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{}',
        cbor2.dumps([]),
        cbor2.dumps({'services': dict(_TABLE)}),
        cbor2.dumps({'services': dict(_TABLE), 'routes': {'r': 1}}),
        cbor2.dumps({'services': dict(_TABLE), 'routes': {'r': {'host': 1}}}),
        published_configuration.encode_configuration({'r': {'host': 1}}, ()),
    ],
)
def test_malformed_configuration_raises_a_source_error(content: bytes) -> None:
    """Guards against a malformed value that stops the reader."""
    with pytest.raises(errors.SourceError):
        operators_document.translate_configuration(content)


def _translate_entry(content: object) -> replica.InstanceRecord:
    translated = backend_entry.translate_entry(
        'i-1',
        cbor2.dumps(content),
        own_settings=_OWN_SETTINGS,
    )
    return replica.parse_instance(
        content=translated,
        revision=ids.Revision(3),
    )


def test_entry_names_the_node_beside_the_backend_server() -> None:
    """Guards against calls to the port of the backend server, past its node."""
    record = _translate_entry(dict(_ENTRY))
    assert (record.instance, record.node) == ('i-1', '10.1.0.9')
    assert (record.host, record.peer_port) == (
        '10.1.0.9',
        _OWN_SETTINGS.peer_port,
    )
    assert (record.region, record.data_centre) == ('south', 'south-a')
    assert (record.slots, record.state) == (6, states.InstanceState.LIVE)


@pytest.mark.parametrize(
    ('part', 'field', 'content'),
    [
        ('info', 'service', 7),
        ('info', 'zone', 'nowhere'),
        ('info', 'capacity', '6'),
        ('info', 'capacity', 0),
        ('info', 'capacity', True),
        ('status', 'state', 'resting'),
    ],
)
def test_bad_entry_raises_a_source_error(
    part: str,
    field: str,
    content: object,
) -> None:
    """Guards against a malformed entry that adds a backend server."""
    changed = json.loads(json.dumps(dict(_ENTRY)))
    changed[part][field] = content
    with pytest.raises(errors.SourceError, match='i-1'):
        _translate_entry(changed)


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text()
    | strategies.binary(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['address', 'info', 'status', 'routes', 'services', 'rows'],
            ),
            inner,
        )
    ),
    max_leaves=12,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary() | _VALUES.map(cbor2.dumps))
def test_any_value_is_translated_or_refused(content: bytes) -> None:
    """Guards against an untyped error, which would end the read."""
    with contextlib.suppress(errors.SourceError):
        operators_document.translate_configuration(content)
    with contextlib.suppress(errors.SourceError):
        backend_entry.translate_entry('i', content, own_settings=_OWN_SETTINGS)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [('1500ms', 1500), ('2.5s', 2500), ('0ms', 0)],
)
def test_durations_are_converted_to_milliseconds(
    text: str, expected: int
) -> None:
    """Guards against seconds that are taken for milliseconds."""
    assert duration.parse_duration_ms(text, field='f') == expected


@pytest.mark.parametrize(
    'text',
    ['', '5', '-1ms', '1 s', 'ms', None, 3, '9' * 400 + 's'],
)
def test_invalid_durations_are_refused(text: object) -> None:
    """Guards against a time limit guessed from an invalid text."""
    with pytest.raises(errors.SourceError, match='f is'):
        duration.parse_duration_ms(text, field='f')


@pytest.mark.parametrize(
    ('field', 'first', 'second'),
    [
        ('attempts', 1, True),
        ('attempts', 1, 1.0),
        ('attempts', 1, 2),
        (
            'split',
            [{'service': 'desk', 'weight': 1}],
            [{'service': 'desk', 'weight': True}],
        ),
    ],
)
def test_cached_route_is_reused_only_for_equal_json(
    field: str,
    first: object,
    second: object,
) -> None:
    """Guards against a malformed field that the cache hides.

    1, 1.0 and True are equal in Python, so a changed type could pass for an
    unchanged route.
    """
    cache = operators_document.new_route_cache()
    for field_content in (first, second):
        content = published_configuration.encode_configuration(
            {'r-1': {**_ROUTE, field: field_content}},
            ('desk',),
        )
        translated = operators_document.translate_configuration(
            content,
            cache=cache,
        )
        assert translated == operators_document.translate_configuration(content)
