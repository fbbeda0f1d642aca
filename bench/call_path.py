"""Latency that the nodes add to a call, and their CPU time per call.

Prints one ``name=value`` per line. ``direct`` calls go to the backend server
without a node, ``added_local`` calls enter at the owner and ``added`` calls
at another node, the ingress; the latencies of the latter two are differences
from the direct ones. ``calls_per_core_second`` is the number of calls per
second of CPU time of both nodes together.
"""

import psutil

from bench import cluster, instance, load_runner
from medlarquay import testing

__all__ = ('main',)

_TEAM = 'agency'
_RATE = 125
_SECONDS = 20
_CPU_RATE = 400
_CPU_SECONDS = 6
_INGRESS = 'ingress'
_OWNER = 'owner'


def main() -> None:
    """Measure latencies and CPU time and print them."""
    with cluster.Cluster() as running:
        running.publish_team(_TEAM, _document())
        running.add(
            [_instance(name) for name in (_INGRESS, _OWNER)],
            quiet=True,
        )
        running.wait_ready([f'{_OWNER}.{_TEAM}'])
        caller = running.start_caller()
        plan = _latency_plan(running)
        _print_latencies(load_runner.run_load(caller, plan))
        _print_cpu(running, caller)


def _document() -> dict[str, object]:
    # Each service has one backend server, so the route of a call determines
    # its owner: the ingress forwards calls for the owner's service over the
    # call link.
    names = (_INGRESS, _OWNER)
    return {
        'services': {name: {} for name in names},
        'routes': [
            {'host': f'{name}.{_TEAM}', 'service': name} for name in names
        ],
    }


def _instance(name: str) -> instance.Instance:
    return instance.Instance(
        name=name,
        team=_TEAM,
        service=name,
        region='palermo',
        data_centre='palermo-1',
        slots=18,
    )


def _mix(name: str, address: str, rate: float) -> testing.LoadMix:
    return testing.LoadMix(
        name=name,
        nodes=[address],
        host=f'{_OWNER}.{_TEAM}',
        rate=rate,
        path='/digest',
    )


def _latency_plan(running: cluster.Cluster) -> testing.LoadPlan:
    """Return three concurrent loads on the same backend server."""
    ingress = running.instances[_INGRESS]
    owner = running.instances[_OWNER]
    return testing.LoadPlan(
        seed=1,
        seconds=_SECONDS,
        mixes=[
            _mix('direct', owner.backend_address, _RATE),
            _mix('local', owner.caller_address, _RATE),
            _mix('added', ingress.caller_address, _RATE),
        ],
    )


def _print_latencies(caller_entries: list[testing.ToldEntry]) -> None:
    latencies: dict[str, list[float]] = {'direct': [], 'local': [], 'added': []}
    for entry in caller_entries:
        if entry.told == 'run':
            latencies[entry.mix].append(entry.latency_ms)
    direct = _percentiles(latencies['direct'])
    print(f'direct_p50_ms={direct[0]:.3f}')
    print(f'direct_p99_ms={direct[1]:.3f}')
    for name, prefix in (('added', 'added'), ('local', 'added_local')):
        percentiles = _percentiles(latencies[name])
        print(f'{prefix}_p50_ms={percentiles[0] - direct[0]:.3f}')
        print(f'{prefix}_p99_ms={percentiles[1] - direct[1]:.3f}')
        print(f'{prefix}_p99_ratio={percentiles[1] / direct[1]:.2f}')
    print(f'call_path_calls={len(caller_entries)}')


def _percentiles(latencies: list[float]) -> tuple[float, float]:
    return (
        load_runner.percentile(latencies, 50),
        load_runner.percentile(latencies, 99),
    )


def _print_cpu(running: cluster.Cluster, caller: str) -> None:
    """Print the calls per second of CPU time of both nodes together."""
    before = _cpu_s(running)
    plan = testing.LoadPlan(
        seed=2,
        seconds=_CPU_SECONDS,
        mixes=[
            _mix(
                'busy',
                running.instances[_INGRESS].caller_address,
                _CPU_RATE,
            ),
        ],
    )
    caller_entries = load_runner.run_load(caller, plan)
    used_s = _cpu_s(running) - before
    print(f'calls_per_core_second={len(caller_entries) / used_s:.0f}')


def _cpu_s(running: cluster.Cluster) -> float:
    total = 0
    for item in running.instances.values():
        if item.node is not None:
            times = psutil.Process(item.node.pid).cpu_times()
            total += times.user + times.system
    return total


if __name__ == '__main__':
    main()
