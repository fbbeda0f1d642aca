"""Deltas with differences instead of whole documents."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from medlarquay import codec, ids, messages, replica, states
from medlarquay.replica import content_difference
from medlarquay.testing import large_document

_ROUTES = 1400
# One route takes about 150 bytes; the rest is digests and names.
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
    """Send a delta from parent to child; return its size in bytes."""
    records = messages.Records(delta=parent.delta_after(child.vector))
    frame = codec.encode(records, now=0)
    decoded = codec.decode(frame, now=0, peer='parent')
    assert isinstance(decoded, messages.Records)
    child.apply_delta(decoded.delta)
    return len(frame)


def test_changed_route_is_sent_as_difference() -> None:
    """Guards against sending the whole document when one route changes."""
    parent = replica.Replica()
    child = replica.Replica()
    _publish(parent, 1, large_document.large_document(_ROUTES))
    _send(parent, child)
    changed = large_document.large_document(_ROUTES, changed=(700,))
    _publish(parent, 2, changed)
    sent_bytes = _send(parent, child)
    assert next(child.teams).content == changed
    assert child.digest == parent.digest
    assert sent_bytes <= _MAX_CHANGE_BYTES


def _pair() -> tuple[replica.Replica, replica.Replica]:
    """Return a parent and a child that both hold the first version."""
    parent, child = replica.Replica(), replica.Replica()
    _publish(parent, 1, large_document.large_document(20))
    _send(parent, child)
    return parent, child


def _change(parent: replica.Replica, child: replica.Replica) -> replica.Delta:
    """Publish the second version; return the delta for the child."""
    changed = large_document.large_document(20, changed=(3,))
    _publish(parent, 2, changed)
    delta = parent.delta_after(child.vector)
    assert delta.differences
    return delta


def test_difference_from_other_base_is_not_applied() -> None:
    """Guards against a document mixed from two versions.

    The edits copy ranges of a base document, which are wrong in any other
    document.
    """
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
    """Guards against malformed edits of a faulty peer that take effect."""
    parent, child = _pair()
    delta = _change(parent, child)
    malformed = dataclasses.replace(delta.differences[0], edits=edits)
    before = child.digest
    change = child.apply_delta(
        dataclasses.replace(delta, differences=(malformed,)),
    )
    assert states.ReplicaEvent.BASE_DIFFERS in change.events
    assert (child.digest, child.vector.tree_revision) == (before, 1)


def test_child_without_base_gets_whole_record() -> None:
    """Guards against a difference sent to a child without its base."""
    parent, _ = _pair()
    _publish(parent, 2, large_document.large_document(20, changed=(3,)))
    empty = replica.Replica()
    _send(parent, empty)
    assert empty.digest == parent.digest


def test_child_several_versions_behind_gets_one_difference() -> None:
    """Guards against one difference per version under frequent changes."""
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
def test_edits_reproduce_document(
    base: list[bytes],
    target: list[bytes],
) -> None:
    """Guards against edits that lose the order or repetition of entries."""
    before, after = b''.join(base), b''.join(target)
    edits = content_difference.find_edits(before, after)
    assert content_difference.apply_edits(before, edits) == after
