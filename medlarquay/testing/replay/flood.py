"""Seeded generator of an overload."""

import dataclasses
import random
from collections.abc import Iterable

from medlarquay import states
from medlarquay.testing.replay import replay_request

__all__ = ('Demand', 'make_flood')

# Service times vary by this factor to both sides of their mean.
_SPREAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Demand of one rank.

    Attributes
    ----------
    rank : Rank
        Priority class.
    load : float
        Offered slot time over the slot time of the backend server.
    service : float
        Mean seconds that a request holds a slot.
    patience : float
        Seconds from arrival to deadline.
    """

    rank: states.Rank
    load: float
    service: float
    patience: float


def make_flood(
    demands: Iterable[Demand],
    *,
    slots: int,
    seconds: float,
    seed: int,
) -> list[replay_request.ReplayRequest]:
    """Return Poisson arrivals of all ranks, in order of time."""
    source = random.Random(seed)
    requests = [
        request
        for demand in demands
        for request in _arrivals(demand, slots, seconds, source)
    ]
    return sorted(requests, key=lambda request: request.arrives_at)


def _arrivals(
    demand: Demand,
    slots: int,
    seconds: float,
    source: random.Random,
) -> Iterable[replay_request.ReplayRequest]:
    rate = demand.load * slots / demand.service
    now = source.expovariate(rate)
    while now < seconds:
        factor = source.uniform(1 - _SPREAD, 1 + _SPREAD)
        yield replay_request.ReplayRequest(
            arrives_at=now,
            deadline=now + demand.patience,
            rank=demand.rank,
            service=demand.service * factor,
        )
        now += source.expovariate(rate)
