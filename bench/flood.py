"""Floods of the least and of the most urgent work, and a failing chain."""

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
_CAPACITY = _INSTANCES * _SLOTS * 1000 / _SERVICE_MS
_FLOOD = 3 * _CAPACITY
_SECONDS = 6
_WARM_UP_S = 2
_URGENT = 'urgent'
_NORMAL = 'normal'
_BULK = 'bulk'
_FLOOD_MIX = 'flood'


def main() -> None:
    """Print the results of the system and of the plain policy."""
    for prefix, kind in (
        ('', cluster.Cluster),
        ('plain_', plain_cluster.PlainCluster),
    ):
        calm = _run(kind(), '')
        bulk = _run(kind(), _BULK)
        urgent = _run(kind(), _URGENT)
        _show(prefix, calm, bulk, flooded=_BULK)
        _show(f'{prefix}urgent_flood_', calm, urgent, flooded=_URGENT)
        _show_differences(prefix, [calm, bulk, urgent])
        amplification = retry_chain.measure(kind())
        print(f'{prefix}retry_amplification={amplification:.2f}')


def _run(
    running: cluster.Cluster,
    flooded: str,
) -> flood_result.FloodResult:
    with running:
        running.publish_team(_TEAM, _document())
        running.add(
            (_instance(number) for number in range(_INSTANCES)),
            backend={'queue_limit': 10000},
        )
        running.wait_ready([_HOST])
        plan = _plan(running, flooded)
        told = load_runner.run_load(running.start_caller(), plan)
        ran = running.runs()
    begins_at = min(entry.sent_at for entry in told) + _WARM_UP_S
    return flood_result.FloodResult(
        told=[entry for entry in told if entry.sent_at >= begins_at],
        comparison=testing.compare(told=told, ran=ran),
        seconds=_SECONDS - _WARM_UP_S,
        deadlines_ms={mix.name: mix.deadline_ms for mix in plan.mixes},
    )


def _plan(running: cluster.Cluster, flooded: str) -> testing.LoadPlan:
    """Return a load of 55% of the capacity, and the flood on top of it."""
    mixes = [
        _mix(running, _URGENT, _URGENT, 0.15 * _CAPACITY),
        _mix(running, _NORMAL, _NORMAL, 0.2 * _CAPACITY),
        _mix(running, _BULK, _BULK, 0.2 * _CAPACITY),
    ]
    if flooded:
        mixes.append(_mix(running, _FLOOD_MIX, flooded, _FLOOD))
    return testing.LoadPlan(seed=1, seconds=_SECONDS, mixes=mixes)


def _mix(
    running: cluster.Cluster,
    name: str,
    rank: str,
    rate: float,
) -> testing.LoadMix:
    return testing.LoadMix(
        name=name,
        nodes=[one.caller_address for one in running.instances.values()],
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


def _show(
    prefix: str,
    calm: flood_result.FloodResult,
    flood: flood_result.FloodResult,
    *,
    flooded: str,
) -> None:
    others = {_URGENT, _NORMAL, _BULK} - {flooded}
    kept = flood.good(others) / max(1, calm.good(others))
    within = flood.within_deadline(_URGENT)
    print(f'{prefix}urgent_p99_ms={flood.p99_ms(_URGENT):.1f}')
    print(f'{prefix}urgent_within_deadline={within:.4f}')
    print(f'{prefix}other_work_kept={kept:.3f}')
    print(f'{prefix}goodput_ratio={flood.goodput() / _CAPACITY:.3f}')


def _show_differences(
    prefix: str,
    found: list[flood_result.FloodResult],
) -> None:
    compared = [entry.comparison for entry in found]
    duplicates = sum(len(entry.ran_twice) for entry in compared)
    wrong = sum(len(entry.told_not_run_ran) for entry in compared)
    lost = sum(entry.lost for entry in compared)
    print(f'{prefix}duplicates={duplicates}')
    print(f'{prefix}lost={lost}')
    print(f'{prefix}told_not_run_ran={wrong}')


if __name__ == '__main__':
    main()
