"""A listing of the whole tree removes what it does not name."""

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


def test_an_instance_that_is_not_listed_is_gone() -> None:
    """Guards against a removal that fell out of the source's history."""
    held = replica.Replica()
    _apply(held, 5, _entry('a', 4), _entry('b', 5))
    _apply(held, 9, _entry('a', 4))
    assert _names(held) == {'a'}
    assert held.vector.list_revision == 9


def test_an_instance_newer_than_the_listing_stays() -> None:
    """Guards against a slow listing that removes what came after it."""
    held = replica.Replica()
    _apply(held, 9, _entry('c', 9), whole=False)
    _apply(held, 8, _entry('a', 4))
    assert _names(held) == {'c'}
    assert held.vector.list_revision == 9


def test_a_removed_instance_comes_back_with_a_newer_entry() -> None:
    """Guards against an id that stays removed when it is used again."""
    held = replica.Replica()
    _apply(held, 5, _entry('a', 4))
    _apply(held, 9)
    _apply(held, 12, _entry('a', 12), whole=False)
    assert _names(held) == {'a'}
