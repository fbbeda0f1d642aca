"""Replays the choice of owners by many ingresses at 85% load.

Twelve ingresses send to six backend servers of their data centre, one of
which is three times slower. Prints one ``name=value`` a line: the wait for a
slot at the 50th and 99th percentile for each policy. Simulated time; seeded.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
from collections.abc import Callable

from bench import routing_fixture
from medlarquay import ids, messages, replica, routing, snapshots

__all__ = ('main',)

_INGRESSES = 12
_SERVERS = 6
_SLOTS = 6
_CALLS = 40000
_SERVICE_S = 0.01
_SLOW_FACTOR = 3
_LOAD = 0.85
_MS = 1000
_PERCENTILES = 100

_Run = tuple[int, ids.InstanceId, float]
_Policy = Callable[[routing.RoutingState, float, int], ids.InstanceId]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Server:
    factor: float
    running: int = 0
    queue: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque,
    )


class _Replay:
    """Servers with slots and queues, and ingresses that observe answers."""

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
        """Send all calls; return their waits in seconds."""
        capacity = sum(1 / found.factor for found in self._servers.values())
        interval = _SERVICE_S / (_LOAD * capacity * _SLOTS)
        now: float = 0
        for number in range(_CALLS):
            now += self._random.expovariate(1 / interval)
            while self._pending and self._pending[0][0] <= now:
                self._finish()
            self._send(number % _INGRESSES, now, number)
        return self._waits

    def _send(self, ingress: int, now: float, number: int) -> None:
        chooser = self._ingresses[ingress]
        instance = self._policy(chooser, now, number)
        routing.observe(
            routing.CallSent(instance=instance),
            chooser.observations,
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
        arrived, ingress = server.queue.popleft()
        server.running += 1
        self._waits.append(now - arrived)
        spent = self._random.expovariate(1 / (_SERVICE_S * server.factor))
        run = (ingress, instance, arrived)
        entry = (now + spent, next(self._order), run)
        heapq.heappush(self._pending, entry)

    def _finish(self) -> None:
        now, _, run = heapq.heappop(self._pending)
        ingress, instance, arrived = run
        server = self._servers[instance]
        server.running -= 1
        routing.observe(
            routing.AnswerObserved(
                instance=instance,
                latency=now - arrived,
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
    """Print the waits under each policy."""
    policies: dict[str, _Policy] = {
        'random': _random_choice,
        'in_turn': _in_turn,
        'least_in_flight': _least_in_flight,
        'two_choices': _two_choices,
    }
    for name, policy in policies.items():
        waits = _Replay(policy).run()
        cuts = statistics.quantiles(waits, n=_PERCENTILES)
        print(f'{name}_wait_p50_ms={cuts[49] * _MS:.2f}')
        print(f'{name}_wait_p99_ms={cuts[98] * _MS:.2f}')


def _backends() -> tuple[replica.InstanceRecord, ...]:
    return _service().backends


def _service() -> snapshots.Service:
    built = routing_fixture.build_snapshot(_SERVERS)
    return built.services[routing_fixture.TEAM, routing_fixture.SERVICE]


_PLACE = routing.Location(
    instance=ids.InstanceId('elsewhere'),
    region=ids.RegionName('north'),
    data_centre=ids.DataCentreName('a'),
)
# All servers in one zone: the choice within a zone is what is compared.
_CANDIDATES = routing.group_candidates(
    [
        dataclasses.replace(
            backend,
            region=_PLACE.region,
            data_centre=_PLACE.data_centre,
        )
        for backend in _backends()
    ],
    ingress_location=_PLACE,
)
_NAMES = tuple(backend.instance for backend in _backends())


def _random_choice(
    chooser: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    return chooser.random.choice(_NAMES)


def _in_turn(
    chooser: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    return _NAMES[number // _INGRESSES % _SERVERS]


def _least_in_flight(
    chooser: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    seen = chooser.observations
    return min(_NAMES, key=lambda name: seen.for_instance(name).in_flight)


def _two_choices(
    chooser: routing.RoutingState,
    now: float,
    number: int,
) -> ids.InstanceId:
    found = routing.choose(
        routing.AnyOwnerQuery(candidates=_CANDIDATES),
        chooser,
        now,
    )
    if isinstance(found, routing.OwnerChosen):
        return found.backend.instance
    raise RuntimeError('no owner')


if __name__ == '__main__':
    main()
