"""Processing time of the ingress per call, without sockets.

Prints one ``name=value`` per line: the median over rounds of the time from
``RequestReceived`` to ``AnswerReady``, and the same for a plain router that
selects backend servers by round robin and makes no other decision.
"""

import random
import statistics
import time

from twisted.internet import task as twisted_task

from bench import routing_fixture
from medlarquay import (
    events,
    ids,
    ingress,
    messages,
    snapshots,
    telemetry,
)
from medlarquay.tasks import router, task

__all__ = ('main',)

_CALLS = 3000
_ROUNDS = 7
_US_PER_SECOND = 1e6
_HEADERS = (
    (b'host', routing_fixture.HOST.encode()),
    (b'user-agent', b'caller'),
    (b'accept', b'*/*'),
    (b'request-timeout-ms', b'1500'),
)


class Discard(task.Task):
    """Task that discards every message."""

    def receive(self, message: object) -> None:
        """Discard a message."""


class PlainRouter(task.Task):
    """Router with round robin over backend servers and no other decision.

    Parameters
    ----------
    links : Task
        Receives the calls.
    listener : Task
        Receives the answers.
    """

    def __init__(self, *, links: task.Task, listener: task.Task) -> None:
        super().__init__(name='plain')
        self._links = links
        self._listener = listener
        self._snapshot: snapshots.Snapshot | None = None
        self._callers: dict[ids.CallId, ids.CallerId] = {}
        self._last_number = 0

    def receive(self, message: object) -> None:
        """Forward a request or its answer."""
        if isinstance(message, events.SnapshotReplaced):
            self._snapshot = message.snapshot
        elif isinstance(message, events.RequestReceived):
            self._forward(message)
        elif isinstance(message, messages.CallAnswered):
            caller = self._callers.pop(message.call_id)
            self._listener.post(
                ingress.backend_answer(caller=caller, message=message)
            )

    def _forward(self, message: events.RequestReceived) -> None:
        if self._snapshot is None:
            return
        host = dict(message.headers)[b'host']
        route = snapshots.match_route(
            self._snapshot,
            host=host,
            target=message.target,
        )
        if route is None:
            return
        self._last_number += 1
        backends = self._snapshot.backends(route.service)
        backend = backends[self._last_number % len(backends)]
        call_id = ids.CallId(self._last_number)
        self._callers[call_id] = message.caller
        request = messages.CallRequest(
            call_id=call_id,
            team=routing_fixture.TEAM,
            service=routing_fixture.SERVICE,
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body,
            rank=route.parameters.rank,
            idempotent=message.method in route.idempotent_methods,
            deadline=time.monotonic() + 2,
        )
        self._links.post(
            events.SendCall(
                instance=backend.instance,
                host=backend.host,
                port=backend.peer_port,
                request=request,
            ),
        )


def main() -> None:
    """Measure all routers alternately, so that noise affects each of them."""
    samples: dict[str, list[float]] = {
        'plain_router': [],
        'router': [],
        'router_500_servers': [],
        'router_plain_key': [],
    }
    for _ in range(_ROUNDS):
        samples['plain_router'].append(_measure(_plain_router(), 6))
        samples['router'].append(_measure(_real_router(), 6))
        samples['router_500_servers'].append(_measure(_real_router(), 500))
        samples['router_plain_key'].append(
            _measure(_real_router(), 6, keyed=True)
        )
    for name, times_us in samples.items():
        print(f'{name}_microseconds_per_call={statistics.median(times_us):.1f}')


def _plain_router() -> task.Task:
    return PlainRouter(
        links=Discard(name='links'),
        listener=Discard(name='listener'),
    )


def _real_router() -> task.Task:
    measured_router = router.Router(
        hello=messages.Hello(
            instance=ids.InstanceId('elsewhere'),
            incarnation=ids.Incarnation('run'),
            region=ids.RegionName('north'),
            data_centre=ids.DataCentreName('a'),
        ),
        links=Discard(name='links'),
        owner=Discard(name='owner'),
        clock=time.monotonic,
        reporter=ingress.CallReporter(
            counters=telemetry.Counters(),
            records=telemetry.RecordLog(),
            wall_clock=time.time,
        ),
        random=random.Random(1),
    )
    measured_router.listener = Discard(name='listener')
    measured_router.start(reactor=twisted_task.Clock())
    return measured_router


def _measure(
    measured_router: task.Task,
    servers: int,
    *,
    keyed: bool = False,
) -> float:
    measured_router.post(
        events.SnapshotReplaced(
            snapshot=routing_fixture.build_snapshot(servers)
        )
    )
    inputs = [_messages(number, keyed=keyed) for number in range(1, _CALLS)]
    started_at = time.perf_counter()
    for request, answer in inputs:
        measured_router.post(request)
        measured_router.post(answer)
    spent = time.perf_counter() - started_at
    return spent / len(inputs) * _US_PER_SECOND


def _messages(
    number: int,
    *,
    keyed: bool,
) -> tuple[events.RequestReceived, messages.CallAnswered]:
    key = (b'idempotency-key', b'order-%d' % number)
    request = events.RequestReceived(
        caller=ids.CallerId(number),
        method=b'POST' if keyed else b'GET',
        target=b'/digest/%d' % number,
        headers=(*_HEADERS, key) if keyed else _HEADERS,
        body=bytes(1024),
    )
    answer = messages.CallAnswered(
        call_id=ids.CallId(number),
        status=200,
        headers=((b'content-type', b'text/html'),),
        body=bytes(200),
        load=messages.LoadState(
            slots=6,
            running=2,
            queued=0,
            service_time=0.01,
        ),
    )
    return request, answer


if __name__ == '__main__':
    main()
