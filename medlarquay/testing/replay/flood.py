"""Seeded generator of the requests of an overload."""

import dataclasses
import math
import random
from collections.abc import Iterable

from medlarquay import ids, states
from medlarquay.testing.replay import replay_request

__all__ = ('Demand', 'make_flood')

# Uniform service times lie within this share of their mean on both sides.
_SERVICE_SPREAD = 0.5
# Maximum of exponential service times, as a multiple of their mean.
_MAX_SERVICE_FACTOR = 8
# Sizes of answers: standard deviation of the logarithm, and the maximum as a
# multiple of the mean.
_SIZE_DEVIATION = 0.6
_MAX_SIZE_FACTOR = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Offered load of one rank.

    Attributes
    ----------
    rank : Rank
        Priority class.
    load : float
        Offered slot time divided by the slot time of the backend server.
    service_s : float
        Mean service time: seconds that a request occupies a slot.
    timeout_s, target_s : float
        Seconds from the arrival to the deadline, and to the time at which
        the request is due.
    route : RouteName
        Route of the requests.
    answer_bytes : int
        Mean size of an answer in bytes; the distribution is lognormal.
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
    """Generate Poisson arrivals of all ranks.

    Parameters
    ----------
    demands : iterable of Demand
        Offered load by rank.
    slots : int
        Slots of the backend server.
    seconds : float
        Duration of the arrivals.
    seed : int
        Seed of the random choices.

    Returns
    -------
    list of ReplayRequest
        Requests in order of their arrival.
    """
    randomness = random.Random(seed)
    requests = [
        request
        for demand in demands
        for request in _arrivals(demand, slots, seconds, randomness)
    ]
    return sorted(requests, key=lambda request: request.arrives_at)


def _arrivals(
    demand: Demand,
    slots: int,
    seconds: float,
    randomness: random.Random,
) -> Iterable[replay_request.ReplayRequest]:
    rate = demand.load * slots / demand.service_s
    now = randomness.expovariate(rate)
    while now < seconds:
        if demand.exponential:
            factor = min(randomness.expovariate(1), _MAX_SERVICE_FACTOR)
        else:
            factor = randomness.uniform(
                1 - _SERVICE_SPREAD, 1 + _SERVICE_SPREAD
            )
        yield replay_request.ReplayRequest(
            arrives_at=now,
            deadline=now + demand.timeout_s,
            rank=demand.rank,
            service_s=demand.service_s * factor,
            due=now + demand.target_s,
            route=demand.route,
            answer_bytes=_draw_bytes(demand, randomness),
        )
        now += randomness.expovariate(rate)


def _draw_bytes(demand: Demand, randomness: random.Random) -> int:
    if not demand.answer_bytes:
        return 0
    # The distribution of the factor has a mean of 1 before the cut-off.
    factor = randomness.lognormvariate(
        -(_SIZE_DEVIATION**2) / 2, _SIZE_DEVIATION
    )
    return int(demand.answer_bytes * min(factor, _MAX_SIZE_FACTOR))
