"""Changes between nodes cost what changed."""

from medlarquay import codec, ids, messages, replica
from medlarquay.testing import large_document

_ROUTES = 1400
# One route takes some 150 bytes; the rest is digests and names.
_MAX_CHANGE_BYTES = 1000


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
