"""Snapshots built from changes equal those built whole."""

import json

import hypothesis
from hypothesis import strategies as st

from medlarquay import ids, replica, snapshots
from medlarquay.tasks import snapshot_builder

_TEAMS = ('agency', 'cooperative')
_CONTENTS = ('valid', 'other', 'bad', 'deleted')


def _document(team: str, content: str) -> bytes | None:
    if content == 'deleted':
        return None
    name = 'desk' if content == 'valid' else 'portal'
    target = 'unknown' if content == 'bad' else name
    return json.dumps({
        'services': {name: {}},
        'routes': [{'host': f'{name}.{team}', 'service': target}],
    }).encode()


def _entry(number: int, content: str) -> bytes | None:
    if content == 'deleted':
        return None
    return json.dumps({
        'instance': f'i{number}',
        'team': _TEAMS[number % 2],
        'service': 'desk' if content == 'valid' else 'portal',
        'region': 'r',
        'data_centre': 'd',
        'host': '127.0.0.1',
        'caller_port': 1,
        'peer_port': 2,
        'slots': 6,
        'state': 'leaving' if content == 'bad' else 'live',
    }).encode()


@hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.integers(0, 3),
            st.sampled_from(_CONTENTS),
            st.booleans(),
        ),
        max_size=25,
    ),
)
def test_changes_add_up_to_the_whole(
    steps: list[tuple[bool, int, str, bool]],
) -> None:
    """Guards against a change that a later snapshot forgets."""
    held = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    for revision, (is_team, number, content, build) in enumerate(steps, 1):
        tree = replica.SourceTree.INSTANCES
        key, value = f'i{number}', _entry(number, content)
        if is_team:
            tree = replica.SourceTree.TEAMS
            key = _TEAMS[number % 2]
            value = _document(key, content)
        found = replica.apply_source(
            held,
            tree=tree,
            after=ids.Revision(0),
            revision=ids.Revision(revision),
            entries=(
                replica.SourceValue(
                    key=key,
                    revision=ids.Revision(revision),
                    content=value,
                ),
            ),
        )
        builder.add(found)
        if build:
            assert builder.build(held) == snapshots.build_snapshot(
                documents=held.documents,
                instances=held.instances,
                tree_revision=held.vector.tree_revision,
                list_revision=held.vector.list_revision,
            )


def test_a_held_removal_is_acted_on_when_its_time_has_come() -> None:
    """Guards against an instance that is gone and stays in use for good."""
    held = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    listed = _apply(held, 1, 1, _entry(1, 'valid'))
    builder.add(listed)
    assert builder.build(held).instances.by_instance
    gone = _apply(held, 1, 2, None)
    builder.add(gone, hold_until=5)
    assert builder.build(held).instances.by_instance
    assert not builder.release(4)
    assert builder.release(5)
    assert not builder.build(held).instances.by_instance


def _apply(
    held: replica.Replica,
    number: int,
    revision: int,
    content: bytes | None,
) -> replica.ApplyResult:
    return replica.apply_source(
        held,
        tree=replica.SourceTree.INSTANCES,
        after=ids.Revision(revision - 1),
        revision=ids.Revision(revision),
        entries=(
            replica.SourceValue(
                key=f'i{number}',
                revision=ids.Revision(revision),
                content=content,
            ),
        ),
    )
