"""Compares the call paths of two checkouts under concurrent loads.

Usage: ``python -m bench.compare_versions BASE TRIAL``, where both are
directories of a checkout. The loads of both versions run at the same time.
Prints one ``name=value`` per line: latencies of each version and of direct
calls to a backend server, and CPU microseconds of the nodes per call.
"""

import sys

import psutil

from bench import cluster, instance, load_runner
from medlarquay import testing

__all__ = ('main',)

_TEAM = 'agency'
_DIRECT = 'direct'
_ROLES = ('ingress', 'owner')
_VERSIONS = ('base', 'trial')
_RATE = 125
_SECONDS = 20
_US_PER_SECOND = 1000000


def main(base: str, trial: str) -> None:
    """Print latencies and CPU time of both versions.

    Parameters
    ----------
    base, trial : str
        Directories of the checkouts.
    """
    with cluster.Cluster() as running:
        running.publish_team(_TEAM, _document())
        for version, checkout in zip(_VERSIONS, (base, trial), strict=True):
            running.add(_pair(version, checkout), quiet=True)
        running.wait_ready([f'{name}-owner.{_TEAM}' for name in _VERSIONS])
        caller = running.start_caller()
        used_s = {name: _cpu_s(running, name) for name in _VERSIONS}
        caller_entries = load_runner.run_load(caller, _plan(running))
        for name in _VERSIONS:
            used_s[name] = _cpu_s(running, name) - used_s[name]
    _print_results(caller_entries, used_s)


def _print_results(
    caller_entries: list[testing.ToldEntry],
    used_s: dict[str, float],
) -> None:
    for mix in (_DIRECT, *_VERSIONS):
        latencies = [
            entry.latency_ms for entry in caller_entries if entry.mix == mix
        ]
        for percent in (50, 90, 99):
            latency = load_runner.percentile(latencies, percent)
            print(f'{mix}_p{percent}_ms={latency:.3f}')
    for version, spent_s in used_s.items():
        calls = sum(1 for entry in caller_entries if entry.mix == version)
        spent_us = spent_s / calls * _US_PER_SECOND
        print(f'{version}_cpu_us_per_call={spent_us:.0f}')


def _pair(version: str, checkout: str) -> list[instance.Instance]:
    return [
        instance.Instance(
            name=f'{version}-{role}',
            team=_TEAM,
            service=f'{version}-{role}',
            region='palermo',
            data_centre='palermo-1',
            slots=18,
            checkout=checkout,
        )
        for role in _ROLES
    ]


def _plan(running: cluster.Cluster) -> testing.LoadPlan:
    addresses = {
        name: running.instances[f'{name}-ingress'].caller_address
        for name in _VERSIONS
    }
    addresses[_DIRECT] = running.instances['base-owner'].backend_address
    return testing.LoadPlan(
        seed=1,
        seconds=_SECONDS,
        mixes=[
            testing.LoadMix(
                name=name,
                nodes=[address],
                host=f'{"base" if name == _DIRECT else name}-owner.{_TEAM}',
                rate=_RATE,
                path='/digest',
            )
            for name, address in addresses.items()
        ],
    )


def _document() -> dict[str, object]:
    names = [f'{name}-{role}' for name in _VERSIONS for role in _ROLES]
    return {
        'services': {name: {} for name in names},
        'routes': [
            {'host': f'{name}.{_TEAM}', 'service': name} for name in names
        ],
    }


def _cpu_s(running: cluster.Cluster, version: str) -> float:
    total = 0
    for item in running.instances.values():
        if item.node is not None and item.name.startswith(version):
            times = psutil.Process(item.node.pid).cpu_times()
            total += times.user + times.system
    return total


if __name__ == '__main__':
    main(*sys.argv[1:])
