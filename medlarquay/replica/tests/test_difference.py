"""Changes between nodes cost what changed."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from medlarquay import codec, ids, messages, replica, states
from medlarquay.replica import content_difference
from medlarquay.testing import large_document

_ROUTES = 1400
# One route takes some 150 bytes; the rest is digests and names.
_MAX_CHANGE_BYTES = 1000
_CHUNKS = (b'{"a":1},', b'{"b":2},', b'{"c":3}', b'},', b'x')


def _publish(held: replica.Replica, revision: int, content: bytes) -> None:
    replica.apply_source(
        held,
        tree=replica.SourceTree.TEAMS,
        after=ids.Revision(revision - 1),
        revision=ids.Revision(revision),
        entries=(
            replica.SourceValue(
                key=large_document.TEAM,
                revision=ids.Revision(revision),
                content=content,
            ),
        ),
    )


def _send(parent: replica.Replica, child: replica.Replica) -> int:
    """Bring a child up to its parent; return the bytes that it takes."""
    records = messages.Records(delta=parent.delta_after(child.vector))
    frame = codec.encode(records, now=0)
    found = codec.decode(frame, now=0, peer='parent')
    assert isinstance(found, messages.Records)
    child.apply_delta(found.delta)
    return len(frame)


def test_a_changed_route_costs_its_own_bytes() -> None:
    """Guards against a whole document sent for each change of one route."""
    parent = replica.Replica()
    child = replica.Replica()
    _publish(parent, 1, large_document.large_document(_ROUTES))
    _send(parent, child)
    changed = large_document.large_document(_ROUTES, changed=(700,))
    _publish(parent, 2, changed)
    spent = _send(parent, child)
    assert next(child.teams).content == changed
    assert child.digest == parent.digest
    assert spent <= _MAX_CHANGE_BYTES


def _pair() -> tuple[replica.Replica, replica.Replica]:
    """Return a parent and a child that hold the first version."""
    parent, child = replica.Replica(), replica.Replica()
    _publish(parent, 1, large_document.large_document(20))
    _send(parent, child)
    return parent, child


def _change(parent: replica.Replica, child: replica.Replica) -> replica.Delta:
    """Publish another version; return what the child lacks."""
    changed = large_document.large_document(20, changed=(3,))
    _publish(parent, 2, changed)
    delta = parent.delta_after(child.vector)
    assert delta.differences
    return delta


def test_a_difference_from_another_document_is_not_applied() -> None:
    """Guards against a document put together from two versions."""
    parent, child = _pair()
    delta = _change(parent, child)
    other = replica.Replica()
    _publish(other, 1, large_document.large_document(21))
    change = other.apply_delta(delta)
    assert states.ReplicaEvent.BASE_DIFFERS in change.events
    assert next(other.teams).content == large_document.large_document(21)
    assert other.vector.tree_revision == 1


@pytest.mark.parametrize(
    'edits',
    [
        (),
        (replica.ContentEdit(start=0, length=10, inserted=b'{}'),),
        (replica.ContentEdit(start=0, length=1 << 40, inserted=b''),),
        (replica.ContentEdit(start=5, length=1, inserted=b''),) * 9,
    ],
)
def test_malformed_edits_change_nothing(
    edits: tuple[replica.ContentEdit, ...],
) -> None:
    """Guards against a document that a faulty peer builds."""
    parent, child = _pair()
    delta = _change(parent, child)
    broken = dataclasses.replace(delta.differences[0], edits=edits)
    before = child.digest
    change = child.apply_delta(
        dataclasses.replace(delta, differences=(broken,)),
    )
    assert states.ReplicaEvent.BASE_DIFFERS in change.events
    assert (child.digest, child.vector.tree_revision) == (before, 1)


def test_a_child_without_the_base_gets_the_whole_record() -> None:
    """Guards against a difference that its receiver cannot use."""
    parent, _ = _pair()
    _publish(parent, 2, large_document.large_document(20, changed=(3,)))
    fresh = replica.Replica()
    _send(parent, fresh)
    assert fresh.digest == parent.digest


def test_a_child_some_versions_behind_gets_one_difference() -> None:
    """Guards against a difference for each version of a storm."""
    parent, child = _pair()
    for revision in range(2, 8):
        content = large_document.large_document(
            20,
            changed=tuple(range(revision)),
        )
        _publish(parent, revision, content)
    delta = parent.delta_after(child.vector)
    assert len(delta.differences) == 1
    child.apply_delta(delta)
    assert child.digest == parent.digest


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(_CHUNKS), max_size=9),
    strategies.lists(strategies.sampled_from(_CHUNKS), max_size=9),
)
def test_edits_build_the_document(
    base: list[bytes], wanted: list[bytes]
) -> None:
    """Guards against an order or a repetition that the edits lose."""
    before, after = b''.join(base), b''.join(wanted)
    edits = content_difference.find_edits(before, after)
    assert content_difference.apply_edits(before, edits) == after
