"""A listing of the whole tree removes the instances missing from it."""

import json

from medlarquay import ids, replica


def _entry(name: str, revision: int) -> replica.SourceValue:
    content = {
        'instance': name,
        'team': 'team',
        'service': 'desk',
        'region': 'r',
        'data_centre': 'd',
        'host': '127.0.0.1',
        'caller_port': 1,
        'peer_port': 2,
        'slots': 6,
        'state': 'live',
    }
    return replica.SourceValue(
        key=name,
        revision=ids.Revision(revision),
        content=json.dumps(content).encode(),
    )


def _apply(
    held: replica.Replica,
    revision: int,
    *entries: replica.SourceValue,
    whole: bool = True,
) -> None:
    replica.apply_source(
        held,
        tree=replica.SourceTree.INSTANCES,
        after=ids.Revision(0),
        revision=ids.Revision(revision),
        entries=entries,
        whole=whole,
    )


def _names(held: replica.Replica) -> set[str]:
    return {record.instance for record in held.instances}


def test_listing_removes_unlisted_instance() -> None:
    """Guards against a removal that is missed.

    The history of the source no longer contains it when the node reads.
    """
    held = replica.Replica()
    _apply(held, 5, _entry('a', 4), _entry('b', 5))
    _apply(held, 9, _entry('a', 4))
    assert _names(held) == {'a'}
    assert held.vector.list_revision == 9


def test_listing_keeps_newer_instance() -> None:
    """Guards against a slow listing that removes a newer instance."""
    held = replica.Replica()
    _apply(held, 9, _entry('c', 9), whole=False)
    _apply(held, 8, _entry('a', 4))
    assert _names(held) == {'c'}
    assert held.vector.list_revision == 9


def test_newer_entry_restores_removed_instance() -> None:
    """Guards against an instance id that stays removed when it is reused."""
    held = replica.Replica()
    _apply(held, 5, _entry('a', 4))
    _apply(held, 9)
    _apply(held, 12, _entry('a', 12), whole=False)
    assert _names(held) == {'a'}
