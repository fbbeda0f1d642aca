"""Demonstration with two regions of two data centres and three services.

Runs 12 nodes under load, publishes a change, kills a node and prints what
callers were told compared with what the backend servers ran.
"""

import signal
import sys
import time

from bench import cluster, instance, load_runner, report
from medlarquay import testing

__all__ = ('main',)

_TEAM = 'agency'
_SERVICES = ('digest-portal', 'editorial-desk', 'press-archive')
_LOCATIONS = (
    ('palermo', 'palermo-1'),
    ('palermo', 'palermo-2'),
    ('catania', 'catania-1'),
    ('catania', 'catania-2'),
)
_SECONDS = 10
_CHANGE_AT_S = 3
_KILL_AT_S = 6
# A node accepts plain keys only once it knows that it has been their home for
# the convergence bound (5 s) plus the clock error bound (2 s).
_KEY_ACCEPTANCE_S = 7.5
_KILLED_INSTANCE = 'editorial-desk-3'


def main() -> int:
    """Run the demonstration.

    Returns
    -------
    int
        Exit code: 1 when what callers were told differs from what backend
        servers ran, else 0.
    """
    with cluster.Cluster() as running:
        _start(running)
        caller = running.start_caller()
        give_up_at = load_runner.start_load(caller, _plan(running))
        time.sleep(_CHANGE_AT_S)
        running.publish_team(_TEAM, _document(timeout_ms=1500))
        print('published one change')
        time.sleep(_KILL_AT_S - _CHANGE_AT_S)
        node = running.instances[_KILLED_INSTANCE].node
        if node is not None:
            node.send_signal(signal.SIGKILL)
        print(f'killed the node {_KILLED_INSTANCE}')
        caller_entries = load_runner.finish_load(caller, give_up_at)
        run_entries = running.runs()
    return report.print_comparison(caller_entries, run_entries)


def _start(running: cluster.Cluster) -> None:
    running.publish_team(_TEAM, _document(timeout_ms=2000))
    running.add(
        instance.Instance(
            name=f'{service}-{number}',
            team=_TEAM,
            service=service,
            region=region,
            data_centre=data_centre,
            slots=6,
        )
        for service in _SERVICES
        for number, (region, data_centre) in enumerate(_LOCATIONS)
    )
    running.wait_ready([f'{service}.{_TEAM}' for service in _SERVICES])
    time.sleep(_KEY_ACCEPTANCE_S)
    print(f'{len(running.instances)} nodes serve {len(_SERVICES)} services')


def _document(*, timeout_ms: int) -> dict[str, object]:
    return {
        'services': {name: {} for name in _SERVICES},
        'routes': [
            {
                'host': f'{name}.{_TEAM}',
                'service': name,
                'rank': 'urgent',
                'timeout_ms': timeout_ms,
            }
            for name in _SERVICES
        ],
    }


def _plan(running: cluster.Cluster) -> testing.LoadPlan:
    nodes = [item.caller_address for item in running.instances.values()]
    return testing.LoadPlan(
        seed=1,
        seconds=_SECONDS,
        mixes=[
            testing.LoadMix(
                name='approve',
                nodes=nodes,
                host=f'editorial-desk.{_TEAM}',
                rate=40,
                method='POST',
                path='/approve',
                rank='urgent',
                service_ms=15,
                keyed=True,
                resends=2,
            ),
            testing.LoadMix(
                name='read',
                nodes=nodes,
                host=f'digest-portal.{_TEAM}',
                rate=60,
                path='/digest',
                rank='normal',
                service_ms=5,
                resends=2,
            ),
            testing.LoadMix(
                name='bundle',
                nodes=nodes,
                host=f'press-archive.{_TEAM}',
                rate=20,
                path='/bundle?bytes=200000',
                rank='bulk',
                service_ms=30,
                resends=2,
            ),
            testing.LoadMix(
                name='note',
                nodes=nodes,
                host=f'editorial-desk.{_TEAM}',
                rate=10,
                method='POST',
                path='/note',
                rank='normal',
                service_ms=10,
            ),
        ],
    )


if __name__ == '__main__':
    sys.exit(main())
