"""Replay of overloads against admission control and a first-in-first-out queue.

Prints one ``name=value`` per line. ``in_time`` is the share of the offered
requests of a rank that finish within their deadline. ``share`` is the slot
time of these requests divided by the slot time of the backend server, and
``goodput`` is the sum of ``share`` over the ranks. ``share`` and ``goodput``
leave out the first 10 s and everything after the last arrival.
"""

import dataclasses
import statistics
from types import MappingProxyType

from medlarquay import admission, states
from medlarquay.testing import replay

__all__ = ('main',)

_SECONDS = 40
_WARM_UP_S = 10
_RANKS = tuple(states.Rank)
_SEEDS = (1, 2, 3)
_FLOORS = MappingProxyType({
    states.Rank.URGENT: 0.3,
    states.Rank.NORMAL: 0.2,
    states.Rank.BULK: 0.1,
})
_BASE_DEMANDS = MappingProxyType({
    states.Rank.URGENT: replay.Demand(
        rank=states.Rank.URGENT,
        load=0.15,
        service_s=0.04,
        timeout_s=1,
    ),
    states.Rank.NORMAL: replay.Demand(
        rank=states.Rank.NORMAL,
        load=0.3,
        service_s=0.1,
        timeout_s=2,
    ),
    states.Rank.BULK: replay.Demand(
        rank=states.Rank.BULK,
        load=0.4,
        service_s=0.4,
        timeout_s=10,
    ),
})


def main() -> None:
    """Replay every overload with both policies and print the medians."""
    for slots in (6, 18):
        _print_medians(f'bulk_flood_{slots}', slots, _with_loads(bulk=3))
        _print_medians(f'urgent_flood_{slots}', slots, _with_loads(urgent=3))
        _print_medians(f'long_bulk_{slots}', slots, _long_bulk(0.15))
        _print_medians(
            f'bulk_flood_tailed_{slots}', slots, _with_long_tail(bulk=3)
        )
        _print_medians(
            f'urgent_flood_tailed_{slots}', slots, _with_long_tail(urgent=3)
        )
        rare_urgent = _long_bulk(0.02)
        _print_medians(f'long_bulk_rare_urgent_{slots}', slots, rare_urgent)
        _print_medians(
            f'long_bulk_no_normal_{slots}',
            slots,
            [rare_urgent[0], rare_urgent[2]],
        )


def _with_loads(**loads: float) -> list[replay.Demand]:
    return [
        replay.Demand(
            rank=rank,
            load=loads.get(rank.value, demand.load),
            service_s=demand.service_s,
            timeout_s=demand.timeout_s,
        )
        for rank, demand in _BASE_DEMANDS.items()
    ]


def _with_long_tail(**loads: float) -> list[replay.Demand]:
    return [
        dataclasses.replace(demand, exponential=True)
        for demand in _with_loads(**loads)
    ]


def _long_bulk(urgent_load: float) -> list[replay.Demand]:
    return [
        *_with_loads(urgent=urgent_load)[:2],
        replay.Demand(
            rank=states.Rank.BULK,
            load=3,
            service_s=4,
            timeout_s=30,
        ),
    ]


def _print_medians(name: str, slots: int, demands: list[replay.Demand]) -> None:
    for policy, build in (('fifo', _fifo), ('admission', _admission)):
        samples = [
            _measure(
                replay.replay(
                    replay.make_flood(
                        demands,
                        slots=slots,
                        seconds=_SECONDS,
                        seed=seed,
                    ),
                    build(slots),
                ),
                slots,
            )
            for seed in _SEEDS
        ]
        for measure in samples[0]:
            median = statistics.median(sample[measure] for sample in samples)
            print(f'{name}_{policy}_{measure}={median:.4f}')


def _fifo(slots: int) -> object:
    return replay.Fifo(slots=slots)


def _admission(slots: int) -> object:
    return admission.Admission(
        bounds=admission.Limits(
            slots=slots,
            floors=_FLOORS,
            queue_limit=64,
        ),
    )


def _measure(
    outcomes: list[replay.ReplayResult],
    slots: int,
) -> dict[str, float]:
    figures: dict[str, float] = {}
    capacity = slots * (_SECONDS - _WARM_UP_S)
    offered = {entry.request.rank for entry in outcomes}
    for rank in sorted(offered, key=_RANKS.index):
        entries = [entry for entry in outcomes if entry.request.rank is rank]
        in_time = [entry for entry in entries if entry.in_time]
        figures[f'{rank.value}_in_time'] = len(in_time) / len(entries)
        slot_time = sum(_measured_slot_time(entry) for entry in in_time)
        figures[f'{rank.value}_share'] = slot_time / capacity
    figures['goodput'] = sum(
        share for name, share in figures.items() if name.endswith('_share')
    )
    return figures


def _measured_slot_time(result: replay.ReplayResult) -> float:
    end = result.finished_at or 0
    start = max(end - result.request.service_s, _WARM_UP_S)
    return max(0, min(end, _SECONDS) - start)


if __name__ == '__main__':
    main()
