"""Replay of overloads against admission and a plain policy.

Prints one ``name=value`` a line. ``in_time`` is the share of offered requests
of a rank that finish within their deadline, ``share`` the slot time of such
requests over the slot time of the backend server, and ``goodput`` its sum
over the ranks. The first seconds are left out of ``share`` and ``goodput``,
and so is everything after the last arrival.
"""

import dataclasses
import statistics
from types import MappingProxyType

from medlarquay import admission, states
from medlarquay.testing import replay

__all__ = ('main',)

_SECONDS = 40
_WARM_UP_S = 10
_ORDER = tuple(states.Rank)
_SEEDS = (1, 2, 3)
_FLOORS = MappingProxyType({
    states.Rank.URGENT: 0.3,
    states.Rank.NORMAL: 0.2,
    states.Rank.BULK: 0.1,
})
_BASE = MappingProxyType({
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
    """Run every scenario with both policies."""
    for slots in (6, 18):
        _report(f'bulk_flood_{slots}', slots, _changed(bulk=3))
        _report(f'urgent_flood_{slots}', slots, _changed(urgent=3))
        _report(f'long_bulk_{slots}', slots, _long_bulk(0.15))
        _report(f'bulk_flood_tailed_{slots}', slots, _tailed(bulk=3))
        _report(f'urgent_flood_tailed_{slots}', slots, _tailed(urgent=3))
        rare = _long_bulk(0.02)
        _report(f'long_bulk_rare_urgent_{slots}', slots, rare)
        _report(f'long_bulk_no_normal_{slots}', slots, [rare[0], rare[2]])


def _changed(**loads: float) -> list[replay.Demand]:
    return [
        replay.Demand(
            rank=rank,
            load=loads.get(rank.value, demand.load),
            service_s=demand.service_s,
            timeout_s=demand.timeout_s,
        )
        for rank, demand in _BASE.items()
    ]


def _tailed(**loads: float) -> list[replay.Demand]:
    return [
        dataclasses.replace(demand, exponential=True)
        for demand in _changed(**loads)
    ]


def _long_bulk(urgent: float) -> list[replay.Demand]:
    return [
        *_changed(urgent=urgent)[:2],
        replay.Demand(
            rank=states.Rank.BULK,
            load=3,
            service_s=4,
            timeout_s=30,
        ),
    ]


def _report(name: str, slots: int, demands: list[replay.Demand]) -> None:
    for label, build in (('fifo', _fifo), ('admission', _admission)):
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
            middle = statistics.median(sample[measure] for sample in samples)
            print(f'{name}_{label}_{measure}={middle:.4f}')


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
    measured: dict[str, float] = {}
    capacity = slots * (_SECONDS - _WARM_UP_S)
    offered = {entry.request.rank for entry in outcomes}
    for rank in sorted(offered, key=_ORDER.index):
        own = [entry for entry in outcomes if entry.request.rank is rank]
        good = [entry for entry in own if entry.in_time]
        measured[f'{rank.value}_in_time'] = len(good) / len(own)
        held = sum(_held(entry) for entry in good)
        measured[f'{rank.value}_share'] = held / capacity
    measured['goodput'] = sum(
        share for name, share in measured.items() if name.endswith('_share')
    )
    return measured


def _held(result: replay.ReplayResult) -> float:
    end = result.finished_at or 0
    start = max(end - result.request.service_s, _WARM_UP_S)
    return max(0, min(end, _SECONDS) - start)


if __name__ == '__main__':
    main()
