"""Tests of the incremental building of snapshots."""

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
def test_incremental_snapshots_equal_whole_builds(
    steps: list[tuple[bool, int, str, bool]],
) -> None:
    """Guards against an incremental snapshot that omits a change."""
    local_replica = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    for revision, (is_team, number, content, build) in enumerate(steps, 1):
        tree = replica.SourceTree.INSTANCES
        key, value = f'i{number}', _entry(number, content)
        if is_team:
            tree = replica.SourceTree.TEAMS
            key = _TEAMS[number % 2]
            value = _document(key, content)
        result = replica.apply_source(
            local_replica,
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
        builder.add(result)
        if build:
            assert builder.build(local_replica) == snapshots.build_snapshot(
                documents=local_replica.documents,
                instances=local_replica.instances,
                tree_revision=local_replica.vector.tree_revision,
                list_revision=local_replica.vector.list_revision,
                unknown_teams=local_replica.unknown_teams,
            )


def test_held_removal_is_applied_when_it_is_due() -> None:
    """Guards against a removed instance that stays in use for ever."""
    local_replica = replica.Replica()
    builder = snapshot_builder.SnapshotBuilder()
    added = _apply(local_replica, 1, 1, _entry(1, 'valid'))
    builder.add(added)
    assert builder.build(local_replica).instances.by_instance
    removed = _apply(local_replica, 1, 2, None)
    builder.add(removed, hold_until=5)
    assert builder.build(local_replica).instances.by_instance
    assert not builder.release(4)
    assert builder.release(5)
    assert not builder.build(local_replica).instances.by_instance


def _apply(
    local_replica: replica.Replica,
    number: int,
    revision: int,
    content: bytes | None,
) -> replica.ApplyResult:
    return replica.apply_source(
        local_replica,
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
