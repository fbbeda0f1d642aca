"""Memory, idle CPU time and control bytes of a node at the planned size.

Prints one ``name=value`` per line. ``node_rss_mb`` is the largest resident
memory of a node; ``idle_core_percent`` and ``control_bytes_per_second`` are
means over the nodes, without calls.
"""

import json
import time

import psutil

from bench import cluster, http_json, instance, relayed_cluster

__all__ = ('main',)

_TEAM = 'agency'
_SERVICE = 'digest-portal'
_NODES = 3
_TEAMS = 50
_SERVICES_PER_TEAM = 20
_BACKENDS = 8000
_SETTLE_S = 8
# One change in 12 s is the planned rate of 7,200 changes per day.
_IDLE_S = 12
_BYTES_PER_MB = 1 << 20
_PERCENT = 100


def main() -> None:
    """Measure and print the figures."""
    with relayed_cluster.RelayedCluster() as running:
        running.publish_team(_TEAM, _document([_SERVICE], _TEAM))
        running.add([_node(number) for number in range(_NODES)], quiet=True)
        running.wait_ready([f'{_SERVICE}.{_TEAM}'])
        processes = _processes(running)
        rss = max(map(_rss_mb, processes))
        print(f'node_rss_mb_at_start={rss:.1f}')
        _publish_planned_size(running)
        time.sleep(_SETTLE_S)
        rss = max(map(_rss_mb, processes))
        print(f'node_rss_mb={rss:.1f}')
        _print_idle(running, processes)


def _print_idle(
    running: relayed_cluster.RelayedCluster,
    processes: list[psutil.Process],
) -> None:
    """Print means over the nodes while one small change is published."""
    used_s = sum(map(_cpu_s, processes))
    control_bytes = running.control_bytes()
    services = [f's-{number}' for number in range(_SERVICES_PER_TEAM)]
    running.publish_team('team-0', _document(services, 'team-0', rank='bulk'))
    time.sleep(_IDLE_S)
    used_s = sum(map(_cpu_s, processes)) - used_s
    control_bytes = running.control_bytes() - control_bytes
    node_seconds = _IDLE_S * len(processes)
    print(f'idle_core_percent={used_s / node_seconds * _PERCENT:.2f}')
    print(f'control_bytes_per_second={control_bytes / node_seconds:.0f}')


def _publish_planned_size(running: cluster.Cluster) -> None:
    services = [f's-{number}' for number in range(_SERVICES_PER_TEAM)]
    teams = (f'team-{index}' for index in range(_TEAMS))
    for team in teams:
        running.publish_team(team, _document(services, team))
    entries = {
        f'planned-{number}': json.dumps(_planned_entry(number))
        for number in range(_BACKENDS)
    }
    http_json.request_json(f'{running.source_url}/publish/instances', entries)


def _planned_entry(number: int) -> dict[str, str | int]:
    """Return an instance list entry without a process.

    Its region is not that of the nodes, so that none chooses it as its parent.
    """
    service = number % _SERVICES_PER_TEAM
    team = number // _SERVICES_PER_TEAM % _TEAMS
    region = number % 3 + 1
    return {
        'instance': f'planned-{number}',
        'team': f'team-{team}',
        'service': f's-{service}',
        'region': f'region-{region}',
        'data_centre': f'region-{region}-{number % 4}',
        'host': '127.0.0.1',
        'caller_port': 9,
        'peer_port': 9,
        'slots': 18,
        'state': 'live',
    }


def _document(
    services: list[str],
    team: str,
    *,
    rank: str = 'normal',
) -> dict[str, object]:
    return {
        'services': {name: {} for name in services},
        'routes': [
            {'host': f'{name}.{team}', 'service': name, 'rank': rank}
            for name in services
        ],
    }


def _node(number: int) -> instance.Instance:
    return instance.Instance(
        name=f'node-{number}',
        team=_TEAM,
        service=_SERVICE,
        region='palermo',
        data_centre='palermo-1',
        slots=6,
    )


def _processes(running: cluster.Cluster) -> list[psutil.Process]:
    return [
        psutil.Process(item.node.pid)
        for item in running.instances.values()
        if item.node is not None
    ]


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _rss_mb(process: psutil.Process) -> float:
    return float(process.memory_info().rss / _BYTES_PER_MB)


if __name__ == '__main__':
    main()
