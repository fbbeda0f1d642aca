"""Replays the choice of owners by many ingresses at 85% load.

Twelve ingresses send to six backend servers of their data centre, one of
which is three times slower. Prints one ``name=value`` per line: the 50th and
99th percentile of the wait for a slot under each policy. Time is simulated
and the random numbers are seeded.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
from collections.abc import Callable

from bench import routing_fixture
from medlarquay import ids, messages, replica, routing

__all__ = ('main',)

_INGRESSES = 12
_SERVERS = 6
_SLOTS = 6
_CALLS = 40000
_SERVICE_S = 0.01
_SLOW_FACTOR = 3
_LOAD = 0.85
_MS_PER_SECOND = 1000
_PERCENTILES = 100

# Number of the ingress, instance, and time at which the call arrived.
_Run = tuple[int, ids.InstanceId, float]
# Chooses an owner from the state of the ingress, the time and the number of
# the call.
_Policy = Callable[[routing.RoutingState, float, int], ids.InstanceId]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Server:
    factor: float
    running: int = 0
    queue: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque,
    )


class _Replay:
    """Simulation of backend servers with slots and queues, and of ingresses.

    Each ingress observes the answers to its own calls.
    """

    def __init__(self, policy: _Policy) -> None:
        self._random = random.Random(1)
        self._policy = policy
        self._waits: list[float] = []
        self._pending: list[tuple[float, int, _Run]] = []
        self._order = itertools.count()
        self._servers = {
            backend.instance: _Server(
                factor=_SLOW_FACTOR if number == 0 else 1,
            )
            for number, backend in enumerate(_backends())
        }
        self._ingresses = [
            routing.RoutingState(
                instance=ids.InstanceId('elsewhere'),
                observations=routing.Observations(),
                random=random.Random(number),
            )
            for number in range(_INGRESSES)
        ]

    def run(self) -> list[float]:
        """Simulate all calls; return their waits for a slot in seconds."""
        capacity = sum(1 / server.factor for server in self._servers.values())
        interval = _SERVICE_S / (_LOAD * capacity * _SLOTS)
        now: float = 0
        for number in range(_CALLS):
            now += self._random.expovariate(1 / interval)
            while self._pending and self._pending[0][0] <= now:
                self._finish()
            self._send(number % _INGRESSES, now, number)
        return self._waits

    def _send(self, ingress: int, now: float, number: int) -> None:
        state = self._ingresses[ingress]
        instance = self._policy(state, now, number)
        routing.observe(
            routing.CallSent(instance=instance),
            state.observations,
            now,
        )
        server = self._servers[instance]
        server.queue.append((now, ingress))
        self._start(instance, server, now)

    def _start(
        self,
        instance: ids.InstanceId,
        server: _Server,
        now: float,
    ) -> None:
        if server.running >= _SLOTS or not server.queue:
            return
        arrived_at, ingress = server.queue.popleft()
        server.running += 1
        self._waits.append(now - arrived_at)
        service_time = self._random.expovariate(
            1 / (_SERVICE_S * server.factor)
        )
        run = (ingress, instance, arrived_at)
        entry = (now + service_time, next(self._order), run)
        heapq.heappush(self._pending, entry)

    def _finish(self) -> None:
        now, _, run = heapq.heappop(self._pending)
        ingress, instance, arrived_at = run
        server = self._servers[instance]
        server.running -= 1
        routing.observe(
            routing.AnswerObserved(
                instance=instance,
                latency=now - arrived_at,
                load=messages.LoadState(
                    slots=_SLOTS,
                    running=server.running,
                    queued=len(server.queue),
                    service_time=_SERVICE_S * server.factor,
                ),
            ),
            self._ingresses[ingress].observations,
            now,
        )
        self._start(instance, server, now)


def main() -> None:
    """Print percentiles of the waits under each policy."""
    policies: dict[str, _Policy] = {
        'random': _random_choice,
        'in_turn': _in_turn,
        'least_in_flight': _least_in_flight,
        'two_choices': _two_choices,
    }
    for name, policy in policies.items():
        waits = _Replay(policy).run()
        cuts = statistics.quantiles(waits, n=_PERCENTILES)
        print(f'{name}_wait_p50_ms={cuts[49] * _MS_PER_SECOND:.2f}')
        print(f'{name}_wait_p99_ms={cuts[98] * _MS_PER_SECOND:.2f}')


def _backends() -> tuple[replica.InstanceRecord, ...]:
    snapshot = routing_fixture.build_snapshot(_SERVERS)
    key = (routing_fixture.TEAM, routing_fixture.SERVICE)
    return snapshot.backends(snapshot.services[key])


_INGRESS_LOCATION = routing.Location(
    instance=ids.InstanceId('elsewhere'),
    region=ids.RegionName('north'),
    data_centre=ids.DataCentreName('a'),
)
# All servers are in one data centre, since the policies are compared for the
# choice within a data centre.
_CANDIDATES = routing.group_candidates(
    [
        dataclasses.replace(
            backend,
            region=_INGRESS_LOCATION.region,
            data_centre=_INGRESS_LOCATION.data_centre,
        )
        for backend in _backends()
    ],
    ingress_location=_INGRESS_LOCATION,
)
_INSTANCES = tuple(backend.instance for backend in _backends())


def _random_choice(
    state: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    return state.random.choice(_INSTANCES)


def _in_turn(
    state: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    return _INSTANCES[number // _INGRESSES % _SERVERS]


def _least_in_flight(
    state: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    observations = state.observations
    return min(
        _INSTANCES,
        key=lambda name: observations.for_instance(name).in_flight,
    )


def _two_choices(
    state: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    choice = routing.choose(
        routing.AnyOwnerQuery(candidates=_CANDIDATES),
        state,
        now,
    )
    if isinstance(choice, routing.OwnerChosen):
        return choice.backend.instance
    raise RuntimeError('no owner')


if __name__ == '__main__':
    main()
