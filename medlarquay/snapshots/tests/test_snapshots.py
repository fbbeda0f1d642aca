"""Tests of building, changing and matching snapshots."""

import dataclasses
import json

import hypothesis
import pytest

from medlarquay import ids, replica, settings, snapshots, states

strategies = hypothesis.strategies

_TEAMS = (ids.TeamName('agency'), ids.TeamName('coop'))
_ZERO = ids.Revision(0)


def _document(team: ids.TeamName, *services: str) -> settings.TeamDocument:
    tree = {
        'services': {name: {} for name in services},
        'routes': [
            {'host': f'x.{team}', 'path_prefix': f'/{name}', 'service': name}
            for name in services
        ],
    }
    return settings.parse_document(team=team, content=json.dumps(tree).encode())


def _record(
    number: int,
    team: ids.TeamName,
    service: str,
    *,
    deleted: bool = False,
) -> replica.InstanceRecord:
    return replica.InstanceRecord(
        instance=ids.InstanceId(f'i{number}'),
        revision=ids.Revision(1),
        team=team,
        service=ids.ServiceName(service),
        region=ids.RegionName('r'),
        data_centre=ids.DataCentreName('d'),
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
        slots=1,
        state=states.InstanceState.LIVE,
        deleted=deleted,
    )


def _build(
    documents: list[settings.TeamDocument],
    instances: list[replica.InstanceRecord],
) -> snapshots.Snapshot:
    return snapshots.build_snapshot(
        documents=documents,
        instances=instances,
        tree_revision=_ZERO,
        list_revision=_ZERO,
    )


@pytest.mark.parametrize(
    ('target', 'matched'),
    [
        (b'/a', True),
        (b'/a/b', True),
        (b'/a?x', True),
        (b'/ab', False),
        (b'/', False),
    ],
)
def test_prefix_matches_whole_segments(target: bytes, matched: bool) -> None:
    """Guards against /a matching /ab, and against case-sensitive hosts."""
    current = _build([_document(_TEAMS[0], 'a')], [])
    found = snapshots.match_route(current, host=b'X.agency', target=target)
    assert (found is not None) is matched


_SERVICES = strategies.sampled_from(['a', 'b', 'c'])
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.builds(
            lambda team, names: _document(team, *names),
            strategies.sampled_from(_TEAMS),
            strategies.sets(_SERVICES),
        ),
        strategies.builds(
            lambda number, team, name, deleted: _record(
                number, team, name, deleted=deleted
            ),
            strategies.integers(0, 5),
            strategies.sampled_from(_TEAMS),
            _SERVICES,
            strategies.booleans(),
        ),
        strategies.sampled_from(_TEAMS),
    ),
    max_size=20,
)


@hypothesis.settings(derandomize=True, max_examples=200, database=None)
@hypothesis.given(steps=_STEPS)
def test_incremental_changes_equal_a_full_build(
    steps: list[object],
) -> None:
    """Guards against dangling or stale references after incremental changes.

    Documents and instances are added, replaced and removed in any order.
    """
    documents: dict[ids.TeamName, settings.TeamDocument] = {}
    instances: dict[ids.InstanceId, replica.InstanceRecord] = {}
    current = _build([], [])
    for step in steps:
        change = snapshots.SnapshotChange(
            tree_revision=_ZERO, list_revision=_ZERO
        )
        if isinstance(step, settings.TeamDocument):
            documents[step.team] = step
            change = dataclasses.replace(change, documents=(step,))
        elif isinstance(step, replica.InstanceRecord):
            instances[step.instance] = step
            change = dataclasses.replace(change, instances=(step,))
        else:
            team = ids.TeamName(str(step))
            documents.pop(team, None)
            change = dataclasses.replace(change, removed_teams=(team,))
        current = snapshots.apply_change(current, change)
        full_build = _build(list(documents.values()), list(instances.values()))
        assert current == full_build


def test_unaffected_objects_are_reused() -> None:
    """Guards against rebuilding all services when one instance changes."""
    before = _build(
        [_document(_TEAMS[0], 'a', 'b'), _document(_TEAMS[1], 'c')],
        [_record(1, _TEAMS[0], 'a')],
    )
    after = snapshots.apply_change(
        before,
        snapshots.SnapshotChange(
            tree_revision=_ZERO,
            list_revision=_ZERO,
            removed_instances=(ids.InstanceId('i1'),),
        ),
    )
    changed = {
        service.key
        for service in after.services.values()
        if after.backends(service) is not before.backends(service)
    }
    assert changed == {('agency', 'a')}
    assert not after.backends(after.services['agency', 'a'])
    # A change of the instance list replaces no service and no route.
    for key, service in after.services.items():
        assert service is before.services[key]
    for host, routes in after.routes.items():
        assert routes is before.routes[host]


def _two_hosts(timeout_ms: int) -> settings.TeamDocument:
    tree = {
        'services': {'desk': {}},
        'routes': [
            {'host': 'a.example', 'service': 'desk', 'timeout_ms': timeout_ms},
            {'host': 'b.example', 'service': 'desk'},
        ],
    }
    return settings.parse_document(
        team=ids.TeamName(settings.SHARED_TEAM),
        content=json.dumps(tree).encode(),
    )


def test_unchanged_hosts_reuse_their_routes() -> None:
    """Guards against rebinding the routes of all hosts when one changes."""
    before = _build([_two_hosts(1)], [])
    after = snapshots.apply_change(
        before,
        snapshots.SnapshotChange(
            tree_revision=_ZERO,
            list_revision=_ZERO,
            documents=(_two_hosts(2),),
        ),
    )
    assert after.routes[b'b.example'] is before.routes[b'b.example']
    assert after.routes[b'a.example'] != before.routes[b'a.example']
