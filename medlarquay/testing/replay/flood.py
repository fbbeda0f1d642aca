"""Seeded generator of an overload."""

import dataclasses
import math
import random
from collections.abc import Iterable

from medlarquay import ids, states
from medlarquay.testing.replay import replay_request

__all__ = ('Demand', 'make_flood')

# Uniform service times vary by this factor to both sides of their mean.
_SPREAD = 0.5
# Exponential service times end at this multiple of their mean.
_LONGEST = 8
# Sizes of answers: deviation of the logarithm, and the largest size as a
# multiple of the mean.
_SIZE_DEVIATION = 0.6
_LARGEST = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Demand of one rank.

    Attributes
    ----------
    rank : Rank
        Priority class.
    load : float
        Offered slot time over the slot time of the backend server.
    service_s : float
        Mean seconds that a request holds a slot.
    timeout_s, target_s : float
        Seconds from arrival to deadline, and to the time it is due.
    route : RouteName
        Route of the requests.
    answer_bytes : int
        Mean size of an answer; the sizes have a lognormal distribution.
    exponential : bool
        Whether service times are exponential instead of uniform.
    """

    rank: states.Rank
    load: float
    service_s: float
    timeout_s: float
    exponential: bool = False
    target_s: float = math.inf
    route: ids.RouteName = ids.RouteName('')
    answer_bytes: int = 0


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
    rate = demand.load * slots / demand.service_s
    now = source.expovariate(rate)
    while now < seconds:
        if demand.exponential:
            factor = min(source.expovariate(1), _LONGEST)
        else:
            factor = source.uniform(1 - _SPREAD, 1 + _SPREAD)
        yield replay_request.ReplayRequest(
            arrives_at=now,
            deadline=now + demand.timeout_s,
            rank=demand.rank,
            service_s=demand.service_s * factor,
            due=now + demand.target_s,
            route=demand.route,
            answer_bytes=_draw_bytes(demand, source),
        )
        now += source.expovariate(rate)


def _draw_bytes(demand: Demand, source: random.Random) -> int:
    if not demand.answer_bytes:
        return 0
    # The mean of the factor is 1.
    factor = source.lognormvariate(-(_SIZE_DEVIATION**2) / 2, _SIZE_DEVIATION)
    return int(demand.answer_bytes * min(factor, _LARGEST))
