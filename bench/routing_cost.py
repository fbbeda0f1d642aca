"""Time of the ingress's decision path for one call.

Prints one ``name=value`` a line: the median over rounds of the time from
``RequestReceived`` to ``AnswerReady``, without sockets, and the same for a
plain router that takes the backend servers in turn and decides nothing else.
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
_MICROSECONDS = 1e6
_FIELDS = (
    (b'host', routing_fixture.HOST.encode()),
    (b'user-agent', b'caller'),
    (b'accept', b'*/*'),
    (b'request-timeout-ms', b'1500'),
)


class Discard(task.Task):
    """Drops every message."""

    def receive(self, message: object) -> None:
        """Drop one message."""


class PlainRouter(task.Task):
    """Takes the backend servers in turn and decides nothing else."""

    def __init__(self, *, links: task.Task, listener: task.Task) -> None:
        super().__init__(name='plain')
        self._links = links
        self._listener = listener
        self._snapshot: snapshots.Snapshot | None = None
        self._callers: dict[ids.CallId, ids.CallerId] = {}
        self._last = 0

    def receive(self, message: object) -> None:
        """Send a request or its answer on."""
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
        self._last += 1
        backends = route.service.backends
        backend = backends[self._last % len(backends)]
        call_id = ids.CallId(self._last)
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
    """Measure all routers in turn, so that noise meets each."""
    samples: dict[str, list[float]] = {
        'plain_router': [],
        'router': [],
        'router_500_servers': [],
        'router_plain_key': [],
    }
    for _ in range(_ROUNDS):
        samples['plain_router'].append(_measure(_plain(), 6))
        samples['router'].append(_measure(_router(), 6))
        samples['router_500_servers'].append(_measure(_router(), 500))
        samples['router_plain_key'].append(_measure(_router(), 6, keyed=True))
    for name, found in samples.items():
        print(f'{name}_microseconds_per_call={statistics.median(found):.1f}')


def _plain() -> task.Task:
    return PlainRouter(
        links=Discard(name='links'),
        listener=Discard(name='listener'),
    )


def _router() -> task.Task:
    measured = router.Router(
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
    measured.listener = Discard(name='listener')
    measured.start(reactor=twisted_task.Clock())
    return measured


def _measure(
    measured: task.Task,
    servers: int,
    *,
    keyed: bool = False,
) -> float:
    measured.post(
        events.SnapshotReplaced(
            snapshot=routing_fixture.build_snapshot(servers)
        )
    )
    inputs = [_messages(number, keyed=keyed) for number in range(1, _CALLS)]
    started = time.perf_counter()
    for request, answer in inputs:
        measured.post(request)
        measured.post(answer)
    spent = time.perf_counter() - started
    return spent / len(inputs) * _MICROSECONDS


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
        headers=(*_FIELDS, key) if keyed else _FIELDS,
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
