"""Seeded generator of an overload."""

import dataclasses
import math
import random
from collections.abc import Iterable

from medlarquay import states
from medlarquay.testing.replay import replay_request

__all__ = ('Demand', 'make_flood')

# Uniform service times vary by this factor to both sides of their mean.
_SPREAD = 0.5
# Exponential service times end at this multiple of their mean.
_LONGEST = 8


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
    patience, target : float
        Seconds from arrival to deadline, and to the time it is due.
    tailed : bool
        Whether service times are exponential instead of uniform.
    """

    rank: states.Rank
    load: float
    service: float
    patience: float
    tailed: bool = False
    target: float = math.inf


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
        if demand.tailed:
            factor = min(source.expovariate(1), _LONGEST)
        else:
            factor = source.uniform(1 - _SPREAD, 1 + _SPREAD)
        yield replay_request.ReplayRequest(
            arrives_at=now,
            deadline=now + demand.patience,
            rank=demand.rank,
            service=demand.service * factor,
            due=now + demand.target,
        )
        now += source.expovariate(rate)
