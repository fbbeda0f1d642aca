"""Tests of parsing whole documents."""

import json
from types import MappingProxyType

import hypothesis
import pytest

from medlarquay import errors, ids, settings, states

strategies = hypothesis.strategies

_TEAM = ids.TeamName('agency')
_HOST = 'desk.agency'
_ROUTE = MappingProxyType({'host': _HOST, 'service': 'desk'})

# Field names of the schema, so that generated trees get past the check of
# names and reach the rules for values.
_NAMES = strategies.sampled_from(
    [
        field.value
        for enumeration in (
            settings.DocumentField,
            settings.ServiceField,
            settings.RouteField,
            states.Rank,
        )
        for field in enumeration
    ],
)
_TREES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.just(_HOST),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            _NAMES | strategies.text(max_size=4), inner, max_size=4
        )
    ),
    max_leaves=12,
)


def _parse(tree: object) -> settings.TeamDocument:
    return settings.parse_document(
        team=_TEAM, content=json.dumps(tree).encode()
    )


def _with_route(**fields: object) -> object:
    return {'services': {'desk': {}}, 'routes': [{**_ROUTE, **fields}]}


def _with_service(**fields: object) -> object:
    return {'services': {'desk': fields}}


@pytest.mark.parametrize(
    ('tree', 'expected'),
    [
        ([], 'document is []: must be an object'),
        ({'notes': 1}, 'notes is 1: unknown field'),
        ({'services': []}, 'services is []: must be an object'),
        ({'services': {'A': {}}}, 'name of services.A is "A": must be lower'),
        (_with_service(cap=1), 'services.desk.cap is 1: unknown field'),
        (_with_service(queue_limit=0), 'queue_limit is 0: must be 1 to 4096'),
        (_with_service(queue_limit=True), 'is true: must be an integer'),
        (_with_service(cold_start_ms=600001), 'must be 0 to 600000'),
        (_with_service(floors={'urgent': 1.1}), 'floors.urgent is 1.1: must'),
        (_with_service(floors={'vip': 0.1}), 'floors.vip is 0.1: unknown'),
        (
            _with_service(floors={'urgent': 0.5, 'bulk': 0.41}),
            'services.desk.floors is {"urgent": 0.5, "bulk": 0.41}: must add',
        ),
        ({'routes': {}}, 'routes is {}: must be an array'),
        ({'routes': [0] * 43691}, 'must have at most 43690 elements'),
        (
            {'services': {f's{number}': {} for number in range(43691)}},
            'must have at most 43690 members',
        ),
        (_with_service(**{f'f{number}': 0 for number in range(65)}), 'most 64'),
        ({'routes': [{}]}, 'routes[0] is {}: must have the field host'),
        (_with_route(host='desk.other'), 'must end in .agency'),
        (_with_route(host='.agency'), 'must be a host name'),
        (_with_route(host='x' * 254), 'must have at most 253 characters'),
        (_with_route(path_prefix='a'), 'is "a": must start with /'),
        (_with_route(path_prefix='/\ud800'), r'is "/\ud800": must start'),
        (_with_route(service='other'), 'routes[0].service is "other": must'),
        (_with_route(rank='vip'), 'routes[0].rank is "vip": must be one of'),
        (_with_route(rank=[]), 'routes[0].rank is []: must be one of'),
        (_with_route(timeout_ms=0), 'timeout_ms is 0: must be 1 to 86400000'),
        (_with_route(timeout_ms=1.5), 'is 1.5: must be an integer'),
        (_with_route(idempotent_methods=['GOT']), 'methods[0] is "GOT"'),
        (_with_route(idempotent_methods=['PUT', 'PUT']), 'not name a method'),
        (
            {'services': {'desk': {}}, 'routes': [{**_ROUTE}, {**_ROUTE}]},
            'must not repeat a host and path_prefix',
        ),
    ],
)
def test_error_names_path_value_and_rule(tree: object, expected: str) -> None:
    """Guards against accepting an invalid field or reporting it vaguely."""
    with pytest.raises(errors.DocumentError) as raised:
        _parse(tree)
    assert expected in str(raised.value)
    assert raised.value.peer == 'teams/agency'


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (b'{"services": NaN}', 'NaN is not a number'),
        (b'{"services": {}, "services": {}}', 'occurs twice'),
        (b'\xff', 'must be JSON in UTF-8'),
        (b' ' * 1_000_001, '1000001 bytes'),
        (b'[' * 9 + b']' * 9, 'nested at most 8'),
        (b'[' * 100_000, 'nested too deeply'),
        (b'9' * 5000, 'must be JSON'),
    ],
)
def test_unreadable_bytes_are_rejected(content: bytes, expected: str) -> None:
    """Guards against accepting bytes that are ambiguous or exhaust a node.

    Parsers differ on duplicate members and ``NaN``; large or deeply nested
    documents take much memory or processor time.
    """
    with pytest.raises(errors.DocumentError, match=expected):
        settings.parse_document(team=_TEAM, content=content)


def test_team_with_a_dot_is_rejected() -> None:
    """Guards against teams ``a.b`` and ``b`` that claim the same host."""
    with pytest.raises(errors.DocumentError, match='team is "a.b"'):
        settings.parse_document(team=ids.TeamName('a.b'), content=b'{}')


def test_decimal_floors_may_sum_to_the_limit() -> None:
    """Guards against rejecting 0.1 + 0.2 + 0.6 because of binary rounding."""
    floors = {'urgent': 0.1, 'normal': 0.2, 'bulk': 0.6}
    document = _parse(_with_service(floors=floors))
    assert [share for _, share in document.services[0].floors] == [
        0.1,
        0.2,
        0.6,
    ]


_VALID = json.dumps({
    'services': {'desk': {'floors': {'urgent': 0.5}, 'queue_limit': 9}},
    'routes': [{**_ROUTE, 'rank': 'urgent', 'idempotent_methods': ['GET']}],
}).encode()
_OFFSETS = strategies.integers(0, len(_VALID))


@hypothesis.settings(derandomize=True, max_examples=500, database=None)
@hypothesis.given(
    content=strategies.binary()
    | _TREES.map(lambda tree: json.dumps(tree).encode())
    | strategies.builds(
        lambda begin, end, inserted: _VALID[:begin] + inserted + _VALID[end:],
        _OFFSETS,
        _OFFSETS,
        strategies.binary(max_size=4),
    ),
)
def test_arbitrary_bytes_parse_or_raise_document_error(content: bytes) -> None:
    """Guards against a document whose parsing raises an unexpected error.

    Any error but DocumentError would end the task that reads the document.
    """
    try:
        settings.parse_document(team=_TEAM, content=content)
    except errors.DocumentError as failure:
        assert str(failure).isascii()
