"""Floods of bulk and of urgent requests, and retries over a failing chain.

Prints one ``name=value`` per line, first for the nodes, then with the prefix
``plain_`` for the same backend servers behind a proxy with a plain policy.
``other_work_kept`` is the number of requests of the other ranks answered in
time, divided by that without a flood; ``goodput_ratio`` is the rate of
requests answered in time divided by the capacity.
"""

from bench import (
    cluster,
    flood_result,
    instance,
    load_runner,
    plain_cluster,
    retry_chain,
)
from medlarquay import testing

__all__ = ('main',)

_TEAM = 'cooperative'
_SERVICE = 'ordertake'
_HOST = f'{_SERVICE}.{_TEAM}'
_INSTANCES = 3
_SLOTS = 4
_SERVICE_MS = 60
_CAPACITY_PER_S = _INSTANCES * _SLOTS * 1000 / _SERVICE_MS
_FLOOD_RATE = 3 * _CAPACITY_PER_S
_SECONDS = 6
_WARM_UP_S = 2
_URGENT = 'urgent'
_NORMAL = 'normal'
_BULK = 'bulk'
_FLOOD_MIX = 'flood'


def main() -> None:
    """Measure the nodes and the plain policy and print the results."""
    for prefix, cluster_type in (
        ('', cluster.Cluster),
        ('plain_', plain_cluster.PlainCluster),
    ):
        baseline = _run(cluster_type(), '')
        bulk = _run(cluster_type(), _BULK)
        urgent = _run(cluster_type(), _URGENT)
        _print_figures(prefix, baseline, bulk, flooded_rank=_BULK)
        _print_figures(
            f'{prefix}urgent_flood_', baseline, urgent, flooded_rank=_URGENT
        )
        _print_differences(prefix, [baseline, bulk, urgent])
        amplification = retry_chain.measure(cluster_type())
        print(f'{prefix}retry_amplification={amplification:.2f}')


def _run(
    new_cluster: cluster.Cluster,
    flooded_rank: str,
) -> flood_result.FloodResult:
    with new_cluster:
        new_cluster.publish_team(_TEAM, _document())
        new_cluster.add(
            (_instance(number) for number in range(_INSTANCES)),
            backend={'queue_limit': 10000},
        )
        new_cluster.wait_ready([_HOST])
        plan = _plan(new_cluster, flooded_rank)
        caller_entries = load_runner.run_load(new_cluster.start_caller(), plan)
        run_entries = new_cluster.runs()
    measured_from = min(entry.sent_at for entry in caller_entries) + _WARM_UP_S
    return flood_result.FloodResult(
        caller_entries=[
            entry for entry in caller_entries if entry.sent_at >= measured_from
        ],
        comparison=testing.compare(
            caller_entries=caller_entries, run_entries=run_entries
        ),
        seconds=_SECONDS - _WARM_UP_S,
        deadlines_ms={mix.name: mix.deadline_ms for mix in plan.mixes},
    )


def _plan(running: cluster.Cluster, flooded_rank: str) -> testing.LoadPlan:
    """Return a load of 55% of the capacity plus the flood, if there is one."""
    mixes = [
        _mix(running, _URGENT, _URGENT, 0.15 * _CAPACITY_PER_S),
        _mix(running, _NORMAL, _NORMAL, 0.2 * _CAPACITY_PER_S),
        _mix(running, _BULK, _BULK, 0.2 * _CAPACITY_PER_S),
    ]
    if flooded_rank:
        mixes.append(_mix(running, _FLOOD_MIX, flooded_rank, _FLOOD_RATE))
    return testing.LoadPlan(seed=1, seconds=_SECONDS, mixes=mixes)


def _mix(
    running: cluster.Cluster,
    name: str,
    rank: str,
    rate: float,
) -> testing.LoadMix:
    return testing.LoadMix(
        name=name,
        nodes=[item.caller_address for item in running.instances.values()],
        host=_HOST,
        rate=rate,
        method='GET' if rank == _BULK else 'POST',
        path=f'/{rank}',
        rank=rank,
        deadline_ms=500 if rank == _URGENT else 1000,
        service_ms=_SERVICE_MS,
    )


def _document() -> dict[str, object]:
    floors = {_URGENT: 0.15, _NORMAL: 0.2, _BULK: 0.2}
    return {
        'services': {_SERVICE: {'floors': floors}},
        'routes': [
            {
                'host': _HOST,
                'service': _SERVICE,
                'rank': _URGENT,
                'timeout_ms': 1000,
            },
        ],
    }


def _instance(number: int) -> instance.Instance:
    return instance.Instance(
        name=f'{_SERVICE}-{number}',
        team=_TEAM,
        service=_SERVICE,
        region='erie',
        data_centre='erie-1',
        slots=_SLOTS,
    )


def _print_figures(
    prefix: str,
    baseline: flood_result.FloodResult,
    flood: flood_result.FloodResult,
    *,
    flooded_rank: str,
) -> None:
    others = {_URGENT, _NORMAL, _BULK} - {flooded_rank}
    kept = flood.count_in_time(others) / max(1, baseline.count_in_time(others))
    within = flood.share_in_time(_URGENT)
    print(f'{prefix}urgent_p99_ms={flood.p99_ms(_URGENT):.1f}')
    print(f'{prefix}urgent_within_deadline={within:.4f}')
    print(f'{prefix}other_work_kept={kept:.3f}')
    print(f'{prefix}goodput_ratio={flood.goodput() / _CAPACITY_PER_S:.3f}')


def _print_differences(
    prefix: str,
    flood_results: list[flood_result.FloodResult],
) -> None:
    comparisons = [entry.comparison for entry in flood_results]
    duplicates = sum(len(entry.ran_twice) for entry in comparisons)
    not_run_but_ran = sum(len(entry.told_not_run_ran) for entry in comparisons)
    lost = sum(entry.lost for entry in comparisons)
    print(f'{prefix}duplicates={duplicates}')
    print(f'{prefix}lost={lost}')
    print(f'{prefix}told_not_run_ran={not_run_but_ran}')


if __name__ == '__main__':
    main()
