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
# Of the time until the answer is due; what is told within it costs a caller
# nothing.
_AT_ONCE = 0.125
# Of the requests: callers on the machine of the owner, which need no link,
# and callers that stop waiting.
_LOCAL_SHARE = 0.3
_LEAVING_SHARE = 0.05


@pytest.fixture(params=[1.0, 1.5, 2.5])
def load(request: pytest.FixtureRequest) -> float:
    """Bytes of the bundles offered over what the link carries."""
    return float(request.param)


@pytest.fixture(params=[3, 6])
def results(
    request: pytest.FixtureRequest,
    load: float,
) -> list[replay.ReplayResult]:
    """Replay bundles with short calls between them at one owner."""
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
                service=0.1,
                patience=3.926,
                target=1.963,
                route=_BUNDLE,
                answer_bytes=_BUNDLE_BYTES,
            ),
            replay.Demand(
                rank=states.Rank.URGENT,
                load=_CHECKS_PER_S * 0.031 / slots,
                service=0.031,
                patience=0.921,
                target=0.276,
                route=_CHECK,
                answer_bytes=500,
            ),
        ],
        slots=slots,
        seconds=_SECONDS,
        seed=7,
    )
    # Every third request was refused by other owners before.
    return [
        dataclasses.replace(entry, last=not number % 3)
        for number, entry in enumerate(requests)
    ]


def _of(
    results: list[replay.ReplayResult],
    route: ids.RouteName,
) -> list[replay.ReplayResult]:
    return [entry for entry in results if entry.request.route == route]


def test_bundles_leave_the_link_when_due(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against bundles that are all late on a link that is full.

    Goodput is to stay at 90% of capacity; here the link is the capacity.
    """
    bundles = _of(results, _BUNDLE)
    offered = sum(entry.request.answer_bytes for entry in bundles)
    carried = min(offered, _LINK_BYTES_PER_S * _SECONDS)
    good = sum(
        entry.request.answer_bytes for entry in bundles if entry.when_due
    )
    assert good >= 0.9 * carried


def test_short_calls_pass_the_bundles(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against urgent calls that wait for bundles.

    At least 99% of urgent work is to be in time in an overload of the rest.
    """
    checks = _of(results, _CHECK)
    assert sum(entry.when_due for entry in checks) >= 0.99 * len(checks)


def test_what_finds_no_room_on_the_link_is_told_at_once(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against requests held until no time is left to ask elsewhere."""
    refused = [entry for entry in results if entry.reason is not None]
    prompt = [
        entry
        for entry in refused
        if entry.held
        <= _AT_ONCE * (entry.request.due - entry.request.arrives_at)
    ]
    assert len(prompt) >= 0.95 * len(refused)


def test_few_bundles_are_held_in_vain(
    results: list[replay.ReplayResult],
) -> None:
    """Guards against a queue of requests that are refused in the end."""
    held_in_vain = [
        entry
        for entry in results
        if entry.reason is not None
        and entry.held
        > _AT_ONCE * (entry.request.due - entry.request.arrives_at)
    ]
    assert len(held_in_vain) <= 0.05 * len(_of(results, _BUNDLE))


def test_an_overload_of_the_link_is_refused(
    load: float,
    results: list[replay.ReplayResult],
) -> None:
    """Guards against an owner that admits bundles which the link delays.

    What the link cannot carry has to go to another owner or to be told.
    """
    bundles = _of(results, _BUNDLE)
    refused = sum(entry.reason is not None for entry in bundles)
    assert refused >= (1 - 1 / load) * 0.8 * len(bundles)


class _PacedOnly(admission.Admission):
    """Admits by slots and leaves the link to the pacing."""


@replay.apply_event.register
def _apply_paced_only(
    policy: _PacedOnly,
    event: object,
    now: float,
) -> admission.Decisions:
    if isinstance(event, admission.LinkBacklogChanged):
        return ()
    return admission.decide(event, policy, now)


def _mixed(load: float, slots: int) -> list[replay.ReplayRequest]:
    """Return requests for the link with local callers and some that leave."""
    chance = random.Random(7)
    mixed = []
    for entry in _requests(load / (1 - _LOCAL_SHARE), slots):
        leaves = chance.random() < _LEAVING_SHARE
        waits = chance.uniform(0, entry.deadline - entry.arrives_at)
        mixed.append(
            dataclasses.replace(
                entry,
                last=True,
                local=chance.random() < _LOCAL_SHARE,
                leaves_at=entry.arrives_at + waits if leaves else math.inf,
            ),
        )
    return mixed


@pytest.mark.parametrize('slots', [3, 6])
@pytest.mark.parametrize('below', [0.6, 0.8, 0.95])
def test_a_link_that_is_just_enough_is_used(below: float, slots: int) -> None:
    """Guards against refusals by the link of what it would have carried.

    No other owner is asked, so what is refused is lost.
    """
    requests = _mixed(below, slots)
    by_slots = _PacedOnly(bounds=_bounds(slots, math.inf))
    by_link = admission.Admission(bounds=_bounds(slots, _LINK_BYTES_PER_S))
    paced, admitted = (
        _of(
            replay.replay(
                requests,
                policy,
                link_bytes_per_s=_LINK_BYTES_PER_S,
            ),
            _BUNDLE,
        )
        for policy in (by_slots, by_link)
    )
    assert sum(entry.in_time for entry in admitted) >= sum(
        entry.in_time for entry in paced
    )
    assert sum(entry.when_due for entry in admitted) >= sum(
        entry.when_due for entry in paced
    )


def _ranked(rank: states.Rank, load: float) -> replay.Demand:
    bundles_per_s = load * _LINK_BYTES_PER_S / _BUNDLE_BYTES
    return replay.Demand(
        rank=rank,
        load=bundles_per_s * 0.1 / _SLOTS,
        service=0.1,
        patience=3.926,
        target=1.963,
        route=ids.RouteName(f'{rank.value}-bundle'),
        answer_bytes=_BUNDLE_BYTES,
    )


def _served(**loads: float) -> dict[states.Rank, float]:
    """Return what left when due of each rank, over what the link carries."""
    requests = replay.make_flood(
        [_ranked(states.Rank(rank), load) for rank, load in loads.items()],
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
    served = dict.fromkeys(states.Rank, float(0))
    for entry in results:
        if entry.when_due:
            share = entry.request.answer_bytes / _LINK_BYTES_PER_S / _SECONDS
            served[entry.request.rank] += share
    return served


def test_large_answers_overtake_those_of_a_later_rank() -> None:
    """Guards against normal bundles refused because of bulk ones."""
    served = _served(normal=0.4, bulk=2)
    alone = _served(normal=0.4)
    assert served[states.Rank.NORMAL] >= 0.95 * alone[states.Rank.NORMAL]
