"""Tests that the largest value of the store passes every limit after it."""

import random
from collections.abc import Callable

import pytest

from medlarquay import codec, ids, messages, replica, settings, snapshots
from medlarquay.platform import operators_document
from medlarquay.platform.testing import large_configuration

_TEAM = ids.TeamName(settings.SHARED_TEAM)


def _service_row(
    number: int, randomness: random.Random
) -> large_configuration.Row:
    return large_configuration.shortest_row(
        number, randomness, service=f'{number:x}'
    )


def _largest_rows(
    build_row: Callable[[int, random.Random], large_configuration.Row],
) -> list[large_configuration.Row]:
    randomness = random.Random(1)  # noqa: S311
    rows = [build_row(number, randomness) for number in range(60000)]
    low, high = 1, len(rows)
    while high - low > 1:
        middle = (low + high) // 2
        if (
            len(large_configuration.encode_rows(rows[:middle]))
            <= settings.SOURCE_VALUE_BYTES
        ):
            low = middle
        else:
            high = middle
    return rows[:low]


def _read(node: replica.Replica, content: bytes, revision: int) -> None:
    """Apply a published value as the reader of a region does."""
    result = replica.apply_source(
        node,
        tree=replica.SourceTree.TEAMS,
        after=node.vector.tree_revision,
        revision=ids.Revision(revision),
        entries=(
            replica.SourceValue(
                key=_TEAM,
                revision=ids.Revision(revision),
                content=operators_document.translate_configuration(content),
            ),
        ),
    )
    assert not result.rejections
    assert not result.events


def _send(parent: replica.Replica, child: replica.Replica) -> int:
    """Send a child what it lacks; return the bytes on the link."""
    sent = 0
    for part in replica.split_delta(parent.delta_after(child.vector)):
        frame = codec.encode(messages.Records(delta=part), now=0)
        received = codec.decode(frame, now=0, peer='parent')
        assert isinstance(received, messages.Records)
        result = child.apply_delta(received.delta)
        assert not result.events
        sent += len(frame)
    assert child.vector == parent.vector
    return sent


@pytest.mark.parametrize(
    'build_row',
    [
        large_configuration.usual_row,
        large_configuration.shortest_row,
        _service_row,
    ],
)
def test_largest_value_comes_into_force(
    build_row: Callable[[int, random.Random], large_configuration.Row],
) -> None:
    """Guards against a limit stricter than the one of the store.

    More than 4,000 routes were rejected, and so was each later version.
    """
    rows = _largest_rows(build_row)
    reader, child = replica.Replica(), replica.Replica()
    _read(reader, large_configuration.encode_rows(rows), 1)
    _send(reader, child)
    rows[len(rows) // 2][5] = '9s'
    _read(reader, large_configuration.encode_rows(rows), 2)
    # One changed route of thousands travels as a difference.
    assert _send(reader, child) < 1000
    snapshot = snapshots.build_snapshot(
        documents=child.documents,
        instances=child.instances,
        tree_revision=child.vector.tree_revision,
        list_revision=child.vector.list_revision,
    )
    changed = rows[len(rows) // 2]
    route = snapshots.match_route(
        snapshot,
        host=str(changed[1]).encode(),
        target=f'{changed[2]}x'.encode(),
    )
    assert route is not None
    assert route.parameters.timeout_ms == 9000


def test_largest_number_of_services_comes_into_force() -> None:
    """Guards against a value of mostly services that is rejected."""
    row = large_configuration.usual_row(1, random.Random(1))  # noqa: S311
    content = large_configuration.encode_rows([row], unused_services=130_000)
    assert len(content) <= settings.SOURCE_VALUE_BYTES
    node = replica.Replica()
    _read(node, content, 1)
    document = node.document(_TEAM)
    assert document is not None
    assert [service.name for service in document.services] == ['desk']


@pytest.mark.parametrize(
    ('column', 'published', 'field', 'expected'),
    [
        (7, 2000, 'attempts', 100),
        (5, '1200s', 'timeout_ms', 1_200_000),
        (5, '200000s', 'timeout_ms', 86_400_000),
        (5, '0.2ms', 'timeout_ms', 1),
        (6, '200000s', 'target_ms', 86_400_000),
        (2, f'/{"a" * 2000}/', 'path_prefix', f'/{"a" * 2000}/'),
    ],
)
def test_any_range_of_a_field_comes_into_force(
    column: int, published: object, field: str, expected: object
) -> None:
    """Guards against rejecting a version because of one large number."""
    row = large_configuration.usual_row(1, random.Random(1))  # noqa: S311
    row[column] = published
    node = replica.Replica()
    _read(node, large_configuration.encode_rows([row]), 1)
    document = node.document(_TEAM)
    assert document is not None
    assert getattr(document.routes[0], field) == expected
