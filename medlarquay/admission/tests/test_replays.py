"""Replayed overloads with the goodput that each has to reach."""

import dataclasses
import pathlib
from types import MappingProxyType

import pytest

from medlarquay import admission, states
from medlarquay.settings import limits
from medlarquay.testing import replay

_TRACES = pathlib.Path(__file__).parent / 'traces'
_FLOORS = MappingProxyType({
    states.Rank.URGENT: 0.3,
    states.Rank.NORMAL: 0.2,
    states.Rank.BULK: 0.1,
})


def _admission(slots: int) -> admission.Admission:
    return admission.Admission(
        bounds=admission.Limits(slots=slots, floors=_FLOORS, queue_limit=64),
    )


def _percent_in_time(
    results: list[replay.ReplayResult],
    rank: states.Rank,
) -> int:
    """Return the percentage of a rank that finished within its deadline."""
    of_rank = [entry for entry in results if entry.request.rank is rank]
    return 100 * sum(entry.in_time for entry in of_rank) // len(of_rank)


def _useful_slot_time(
    results: list[replay.ReplayResult],
    rank: states.Rank,
) -> float:
    return sum(
        entry.request.service_s
        for entry in results
        if entry.request.rank is rank and entry.in_time
    )


def _flood(slots: int, **loads: float) -> list[replay.ReplayRequest]:
    parameters = {'urgent': (0.04, 1), 'normal': (0.1, 2), 'bulk': (0.4, 10)}
    return replay.make_flood(
        [
            replay.Demand(
                rank=rank,
                load=loads[rank.value],
                service_s=parameters[rank.value][0],
                timeout_s=parameters[rank.value][1],
            )
            for rank in states.Rank
        ],
        slots=slots,
        seconds=20,
        seed=7,
    )


@pytest.mark.parametrize('slots', [6, 18])
def test_bulk_flood_leaves_urgent_in_time(slots: int) -> None:
    """Guards against late urgent requests in a threefold overload of bulk."""
    requests = _flood(slots, urgent=0.15, normal=0.3, bulk=3)
    served = replay.replay(requests, _admission(slots))
    plain = replay.replay(requests, replay.Fifo(slots=slots))
    assert _percent_in_time(served, states.Rank.URGENT) >= 99
    assert _percent_in_time(plain, states.Rank.URGENT) < 50
    useful_time = sum(_useful_slot_time(served, rank) for rank in states.Rank)
    assert 100 * useful_time / (slots * 20) >= 90


@pytest.mark.parametrize('slots', [6, 18])
def test_urgent_flood_leaves_floors(slots: int) -> None:
    """Guards against starvation of normal and bulk requests by urgent ones."""
    requests = _flood(slots, urgent=3, normal=0.3, bulk=0.4)
    served = replay.replay(requests, _admission(slots))
    for rank in (states.Rank.NORMAL, states.Rank.BULK):
        share = _useful_slot_time(served, rank) / (slots * 20)
        assert share >= _FLOORS[rank], rank


def test_overload_without_stated_floors_starves_no_rank() -> None:
    """Guards against reservations that stop while pages are browsed.

    The service states no floors. Two of its eight backend servers are left for
    the requests of all.
    """
    floors = dict(limits.DEFAULT_FLOORS)
    requests = replay.make_flood(
        [
            replay.Demand(
                rank=states.Rank.URGENT, load=1.7, service_s=0.16, timeout_s=2.5
            ),
            replay.Demand(
                rank=states.Rank.NORMAL, load=0.7, service_s=0.21, timeout_s=3
            ),
        ],
        slots=9,
        seconds=20,
        seed=7,
    )
    bounds = admission.Limits(slots=9, floors=floors, queue_limit=64)
    served = replay.replay(requests, admission.Admission(bounds=bounds))
    share = _useful_slot_time(served, states.Rank.NORMAL) / (9 * 20)
    assert share >= floors[states.Rank.NORMAL]
    urgent = _useful_slot_time(served, states.Rank.URGENT) / (9 * 20)
    assert urgent >= 1 - sum(floors.values())


def test_glossary_lookups_pass_dashboards() -> None:
    """Guards against head-of-line blocking of lookups by dashboard requests."""
    requests = replay.read_trace(_TRACES / 'glossary_behind_dashboards.json')
    served = replay.replay(requests, _admission(6))
    plain = replay.replay(requests, replay.Fifo(slots=6))
    assert _percent_in_time(served, states.Rank.URGENT) == 100
    assert _percent_in_time(plain, states.Rank.URGENT) < 50


def test_browsing_keeps_its_floor_in_an_order_rush() -> None:
    """Guards against starved browsing in a threefold overload of orders."""
    requests = replay.read_trace(_TRACES / 'orders_against_browsing.json')
    served = replay.replay(requests, _admission(18))
    plain = replay.replay(requests, replay.Fifo(slots=18))
    # Browsing needs 5 of 18 slots and its floor is 3.6.
    assert _percent_in_time(served, states.Rank.NORMAL) >= 70
    assert _percent_in_time(plain, states.Rank.NORMAL) < 30
    assert _percent_in_time(served, states.Rank.URGENT) > _percent_in_time(
        plain,
        states.Rank.URGENT,
    )


@pytest.mark.parametrize('load', [1.2, 1.5, 2.5])
def test_sustained_overload_is_answered_when_due(load: float) -> None:
    """Guards against slots spent on requests that are already late.

    Other owners refused every second request before, which cost it 60 ms.
    """
    requests = replay.make_flood(
        [
            replay.Demand(
                rank=states.Rank.URGENT,
                load=load,
                service_s=0.1,
                timeout_s=1.2,
                target_s=0.25,
            ),
        ],
        slots=6,
        seconds=20,
        seed=7,
    )
    requests = [
        dataclasses.replace(
            request,
            last_attempt=bool(number % 2),
            due=request.due - 0.06 * (number % 2),
        )
        for number, request in enumerate(requests)
    ]
    served = replay.replay(requests, _admission(6))
    useful_time = sum(
        entry.request.service_s for entry in served if entry.when_due
    )
    assert 100 * useful_time / (6 * 20) >= 80
