"""Replayed overloads of the link of an owner's machine."""

import dataclasses
import math
import random
from types import MappingProxyType

import pytest

from medlarquay import admission, ids, states
from medlarquay.testing import replay

_LINK_BYTES_PER_S = 440_000
_BUNDLE_BYTES = 90_000
_BUNDLE = ids.RouteName('archive-bundle')
_CHECK = ids.RouteName('source-verify')
_CHECKS_PER_S = 15
_SECONDS = 80
_SLOTS = 6
_FLOORS = MappingProxyType({
    states.Rank.URGENT: 0.3,
    states.Rank.NORMAL: 0.2,
    states.Rank.BULK: 0.1,
})
# Share of the time until the due time within which a refusal costs the caller
# nothing.
_PROMPT_SHARE = 0.125
# Shares of the requests from callers on the machine of the owner, which do not
# use the link, and from callers that cancel.
_LOCAL_SHARE = 0.3
_CANCELLED_SHARE = 0.05


@pytest.fixture(params=[1.0, 1.5, 2.5])
def load(request: pytest.FixtureRequest) -> float:
    """Offered bytes of bundles as a multiple of the link rate."""
    return float(request.param)


@pytest.fixture(params=[3, 6])
def results(
    request: pytest.FixtureRequest,
    load: float,
) -> list[replay.ReplayResult]:
    """Replay bundles and short urgent requests at one owner."""
    slots: int = request.param
    return replay.replay(
        _requests(load, slots),
        admission.Admission(bounds=_bounds(slots, _LINK_BYTES_PER_S)),
        link_bytes_per_s=_LINK_BYTES_PER_S,
    )


def _bounds(slots: int, link_bytes_per_s: float) -> admission.Limits:
    return admission.Limits(
        slots=slots,
        floors=_FLOORS,
        queue_limit=64,
        link_bytes_per_s=link_bytes_per_s,
    )


def _requests(load: float, slots: int) -> list[replay.ReplayRequest]:
    bundles_per_s = load * _LINK_BYTES_PER_S / _BUNDLE_BYTES
    requests = replay.make_flood(
        [
            replay.Demand(
                rank=states.Rank.BULK,
                load=bundles_per_s * 0.1 / slots,
                service_s=0.1,
                timeout_s=3.926,
                target_s=1.963,
                route=_BUNDLE,
                answer_bytes=_BUNDLE_BYTES,
            ),
            replay.Demand(
                rank=states.Rank.URGENT,
                load=_CHECKS_PER_S * 0.031 / slots,
                service_s=0.031,
                timeout_s=0.921,
                target_s=0.276,
                route=_CHECK,
                answer_bytes=500,
            ),
        ],
        slots=slots,
        seconds=_SECONDS,
        seed=7,
    )
    # Other owners refused every third request before.
    return [
        dataclasses.replace(entry, last_attempt=not number % 3)
        for number, entry in enumerate(requests)
    ]


def _of_route(
    results: list[replay.ReplayResult],
    route: ids.RouteName,
) -> list[replay.ReplayResult]:
    return [entry for entry in results if entry.request.route == route]


def test_large_answers_are_on_time_on_overloaded_link(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against an overloaded link that delivers every bundle late.

    Goodput has to stay at 90% of capacity, which is that of the link here.
    """
    bundles = _of_route(results, _BUNDLE)
    offered = sum(entry.request.answer_bytes for entry in bundles)
    carried = min(offered, _LINK_BYTES_PER_S * _SECONDS)
    good = sum(
        entry.request.answer_bytes for entry in bundles if entry.when_due
    )
    assert good >= 0.9 * carried


def test_urgent_answers_are_on_time_on_overloaded_link(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against urgent answers that wait behind bundles on the link.

    At least 99% of urgent requests have to be on time in an overload of the
    other ranks.
    """
    checks = _of_route(results, _CHECK)
    assert sum(entry.when_due for entry in checks) >= 0.99 * len(checks)


def test_link_refusals_are_prompt(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against refusals that leave no time to try another owner."""
    refused = [entry for entry in results if entry.reason is not None]
    prompt = [
        entry
        for entry in refused
        if entry.latency_s
        <= _PROMPT_SHARE * (entry.request.due - entry.request.arrives_at)
    ]
    assert len(prompt) >= 0.95 * len(refused)


def test_few_bundles_are_queued_and_then_refused(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against bundles that are queued for long and then refused."""
    queued_then_refused = [
        entry
        for entry in results
        if entry.reason is not None
        and entry.latency_s
        > _PROMPT_SHARE * (entry.request.due - entry.request.arrives_at)
    ]
    assert len(queued_then_refused) <= 0.05 * len(_of_route(results, _BUNDLE))


def test_link_overload_is_refused(
    load: float,
    results: list[replay.ReplayResult],
) -> None:
    """Guards against an owner that admits more than its link can send.

    The excess has to be refused, so that another owner is tried or the caller
    learns of it.
    """
    bundles = _of_route(results, _BUNDLE)
    refused = sum(entry.reason is not None for entry in bundles)
    assert refused >= (1 - 1 / load) * 0.8 * len(bundles)


class _SlotsOnly(admission.Admission):
    """Admission by slots only, without regard to the link backlog."""


@replay.apply_event.register
def _apply_slots_only(
    policy: _SlotsOnly,
    event: object,
    now: float,
) -> admission.Decisions:
    if isinstance(event, admission.LinkBacklogChanged):
        return ()
    return admission.decide(event, policy, now)


def _mixed_requests(load: float, slots: int) -> list[replay.ReplayRequest]:
    """Return requests of which some are local and some are cancelled."""
    rng = random.Random(7)
    mixed = []
    for entry in _requests(load / (1 - _LOCAL_SHARE), slots):
        cancels = rng.random() < _CANCELLED_SHARE
        patience = rng.uniform(0, entry.deadline - entry.arrives_at)
        mixed.append(
            dataclasses.replace(
                entry,
                last_attempt=True,
                local=rng.random() < _LOCAL_SHARE,
                leaves_at=entry.arrives_at + patience if cancels else math.inf,
            ),
        )
    return mixed


@pytest.mark.parametrize('slots', [3, 6])
@pytest.mark.parametrize('offered_load', [0.6, 0.8, 0.95])
def test_link_admission_keeps_goodput_below_capacity(
    offered_load: float, slots: int
) -> None:
    """Guards against refusals of answers that the link would have sent.

    No other owner is tried, so each refused request is lost.
    """
    requests = _mixed_requests(offered_load, slots)
    slots_only = _SlotsOnly(bounds=_bounds(slots, math.inf))
    with_link = admission.Admission(bounds=_bounds(slots, _LINK_BYTES_PER_S))
    paced, admitted = (
        _of_route(
            replay.replay(
                requests,
                policy,
                link_bytes_per_s=_LINK_BYTES_PER_S,
            ),
            _BUNDLE,
        )
        for policy in (slots_only, with_link)
    )
    assert sum(entry.in_time for entry in admitted) >= sum(
        entry.in_time for entry in paced
    )
    assert sum(entry.when_due for entry in admitted) >= sum(
        entry.when_due for entry in paced
    )


def _demand(rank: states.Rank, load: float) -> replay.Demand:
    bundles_per_s = load * _LINK_BYTES_PER_S / _BUNDLE_BYTES
    return replay.Demand(
        rank=rank,
        load=bundles_per_s * 0.1 / _SLOTS,
        service_s=0.1,
        timeout_s=3.926,
        target_s=1.963,
        route=ids.RouteName(f'{rank.value}-bundle'),
        answer_bytes=_BUNDLE_BYTES,
    )


def _goodput_by_rank(**loads: float) -> dict[states.Rank, float]:
    """Return the bytes sent when due by rank, as a share of the link rate."""
    requests = replay.make_flood(
        [_demand(states.Rank(rank), load) for rank, load in loads.items()],
        slots=_SLOTS,
        seconds=_SECONDS,
        seed=7,
    )
    policy = admission.Admission(bounds=_bounds(_SLOTS, _LINK_BYTES_PER_S))
    results = replay.replay(
        requests,
        policy,
        link_bytes_per_s=_LINK_BYTES_PER_S,
    )
    goodput = dict.fromkeys(states.Rank, float(0))
    for entry in results:
        if entry.when_due:
            share = entry.request.answer_bytes / _LINK_BYTES_PER_S / _SECONDS
            goodput[entry.request.rank] += share
    return goodput


def test_large_answers_overtake_lower_ranks() -> None:
    """Guards against normal bundles refused because of queued bulk bundles."""
    goodput = _goodput_by_rank(normal=0.4, bulk=2)
    alone = _goodput_by_rank(normal=0.4)
    assert goodput[states.Rank.NORMAL] >= 0.95 * alone[states.Rank.NORMAL]
