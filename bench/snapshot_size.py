"""Cost of a snapshot with 1,000 to 8,000 backend servers.

Prints one ``name=value`` per line. ``apply_ms_N`` is the median time to
apply a change of one instance to a snapshot with N backend servers,
``apply_team_ms_N`` that to apply a change of one team document, and
``build_ms_N`` that to build the whole snapshot. ``snapshot_mb_8000`` is the
memory of documents, records and snapshot.
"""

import dataclasses
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable

from medlarquay import ids, replica, settings, snapshots

__all__ = ('main',)

_SIZES = (1000, 2000, 4000, 8000)
_SERVERS_PER_SERVICE = 8
_SERVICES_PER_TEAM = 10
_ROUNDS = 41
_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1_000_000
_REVISION = ids.Revision(1)


def main() -> None:
    """Measure each size and print the figures."""
    for size in _SIZES:
        _measure_times(size)
    tracemalloc.start()
    snapshot = _build(size=_SIZES[-1])
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'snapshot_services_{_SIZES[-1]}={len(snapshot.services)}')
    print(f'snapshot_mb_{_SIZES[-1]}={used / _BYTES_PER_MB:.2f}')


def _measure_times(size: int) -> None:
    documents = _documents(size)
    instances = _instances(size)
    current = _build_from(documents, instances)
    changed = dataclasses.replace(instances[size // 2], slots=1)
    instance_change = snapshots.SnapshotChange(
        tree_revision=_REVISION,
        list_revision=_REVISION,
        instances=(changed,),
    )
    team_change = snapshots.SnapshotChange(
        tree_revision=_REVISION,
        list_revision=_REVISION,
        documents=(_document(0, timeout_ms=1),),
    )
    steps = {
        'apply': lambda: snapshots.apply_change(current, instance_change),
        'apply_team': lambda: snapshots.apply_change(current, team_change),
        'build': lambda: _build_from(documents, instances),
    }
    for name, step in steps.items():
        print(f'{name}_ms_{size}={_median_ms(step):.3f}')


def _median_ms(step: Callable[[], object]) -> float:
    durations = []
    for _ in range(_ROUNDS):
        started_at = time.perf_counter()
        step()
        durations.append(time.perf_counter() - started_at)
    return statistics.median(durations) * _MS_PER_SECOND


def _build(*, size: int) -> snapshots.Snapshot:
    return _build_from(_documents(size), _instances(size))


def _build_from(
    documents: list[settings.TeamDocument],
    instances: list[replica.InstanceRecord],
) -> snapshots.Snapshot:
    return snapshots.build_snapshot(
        documents=documents,
        instances=instances,
        tree_revision=_REVISION,
        list_revision=_REVISION,
    )


def _documents(size: int) -> list[settings.TeamDocument]:
    teams = size // (_SERVERS_PER_SERVICE * _SERVICES_PER_TEAM) or 1
    return [_document(team, timeout_ms=2000) for team in range(teams + 1)]


def _document(team: int, *, timeout_ms: int) -> settings.TeamDocument:
    names = [f'service-{number}' for number in range(_SERVICES_PER_TEAM)]
    document = {
        'services': {name: {'floors': {'urgent': 0.5}} for name in names},
        'routes': [
            {
                'host': f'{name}.team-{team}',
                'service': name,
                'timeout_ms': timeout_ms,
            }
            for name in names
        ],
    }
    return settings.parse_document(
        team=ids.TeamName(f'team-{team}'),
        content=json.dumps(document).encode(),
    )


def _instances(size: int) -> list[replica.InstanceRecord]:
    return [_instance(number) for number in range(size)]


def _instance(number: int) -> replica.InstanceRecord:
    service = number // _SERVERS_PER_SERVICE
    entry = {
        'instance': f'instance-{number}',
        'team': f'team-{service // _SERVICES_PER_TEAM}',
        'service': f'service-{service % _SERVICES_PER_TEAM}',
        'region': f'region-{number % 4}',
        'data_centre': f'data-centre-{number % 16}',
        'host': f'10.0.{number // 250}.{number % 250}',
        'caller_port': 8000,
        'peer_port': 8001,
        'slots': 18,
        'state': 'live',
    }
    return replica.parse_instance(
        content=json.dumps(entry).encode(),
        revision=_REVISION,
    )


if __name__ == '__main__':
    main()
