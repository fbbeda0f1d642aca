"""Measures retries over a chain of five services, the last of which fails."""

from bench import cluster, http_json, instance, load_runner, plain_cluster
from medlarquay import testing

__all__ = ('measure',)

_TEAM = 'chain'
_HOPS = ('one', 'two', 'three', 'four', 'five')
_LAST = _HOPS[-1]
_SECONDS = 5
_RATE = 25
# Under the plain policy each request causes 1,024 attempts at the last hop.
_PLAIN_RATE = 0.5


def measure(new_cluster: cluster.Cluster) -> float:
    """Return the attempts at the last hop per request of the callers.

    Parameters
    ----------
    new_cluster : Cluster
        Cluster that is not started yet; ended on return.
    """
    plain = isinstance(new_cluster, plain_cluster.PlainCluster)
    with new_cluster:
        new_cluster.publish_team(_TEAM, _document())
        new_cluster.add(_instances(), quiet=True)
        new_cluster.wait_ready([f'{name}.{_TEAM}' for name in _HOPS])
        _set_last_failing(new_cluster)
        before = _count_last_attempts(new_cluster)
        caller = new_cluster.start_caller()
        plan = _plan(new_cluster, _PLAIN_RATE if plain else _RATE)
        caller_entries = load_runner.run_load(caller, plan)
        attempts = _count_last_attempts(new_cluster) - before
    return attempts / len(caller_entries)


def _set_last_failing(running: cluster.Cluster) -> None:
    for address in _last_addresses(running):
        http_json.request_json(
            f'http://{address}/-/settings', {'failing': True}
        )


def _count_last_attempts(running: cluster.Cluster) -> int:
    return sum(
        http_json.request_json(f'http://{address}/-/counts').get('received', 0)
        for address in _last_addresses(running)
    )


def _last_addresses(running: cluster.Cluster) -> list[str]:
    return [
        item.backend_address
        for item in running.instances.values()
        if item.service == _LAST
    ]


def _plan(running: cluster.Cluster, rate: float) -> testing.LoadPlan:
    first_hop = running.instances[f'{_HOPS[0]}-0']
    return testing.LoadPlan(
        seed=3,
        seconds=_SECONDS,
        mixes=[
            testing.LoadMix(
                name='chain',
                nodes=[first_hop.caller_address],
                host=f'{_HOPS[0]}.{_TEAM}',
                rate=rate,
                method='POST',
                path='/chain',
                deadline_ms=5000,
                chain=','.join(f'{name}.{_TEAM}' for name in _HOPS[1:]),
            ),
        ],
    )


def _document() -> dict[str, object]:
    return {
        'services': {name: {} for name in _HOPS},
        'routes': [
            {
                'host': f'{name}.{_TEAM}',
                'service': name,
                'timeout_ms': 5000,
            }
            for name in _HOPS
        ],
    }


def _instances() -> list[instance.Instance]:
    """Return one instance per hop, and two of the last one for a retry."""
    names = [f'{name}-0' for name in _HOPS]
    names.append(f'{_LAST}-1')
    return [
        instance.Instance(
            name=name,
            team=_TEAM,
            service=name.partition('-')[0],
            region='erie',
            data_centre='erie-1',
            slots=6,
        )
        for name in names
    ]
