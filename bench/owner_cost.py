"""Processing time of the owner per call, without sockets.

Prints one ``name=value`` per line: the median over rounds of the time from
``RunCall`` to the reply, for calls without and with an idempotency key, and
for a plain owner that only keeps a table of running requests and makes no
decisions.
"""

import statistics
import time
from collections.abc import Callable

from twisted.internet import task as twisted_task

from medlarquay import (
    admission,
    events,
    ids,
    keys,
    messages,
    quarantine,
    states,
    telemetry,
)
from medlarquay.tasks import clocks, local_instance, owner, task

__all__ = ('main',)

_CALLS = 5000
_ROUNDS = 7
_US_PER_SECOND = 1e6
_TEAM = ids.TeamName('agency')
_SERVICE = ids.ServiceName('digest-portal')
_INCARNATION = ids.Incarnation('a1b2c3d4e5f60718')
_INSTANCE = ids.InstanceId('digest-1')


class Discard(task.Task):
    """Task that discards every message."""

    def receive(self, message: object) -> None:
        """Discard a message."""


class PlainOwner(task.Task):
    """Owner that keeps a table of running requests and makes no decisions.

    Parameters
    ----------
    links : Task
        Receives the replies.
    backend : Task
        Receives the requests.
    """

    def __init__(self, *, links: task.Task, backend: task.Task) -> None:
        super().__init__(name='plain')
        self._links = links
        self._backend = backend
        self._running: dict[ids.ExchangeId, events.RunCall] = {}

    def receive(self, message: object) -> None:
        """Forward a request or its answer."""
        if isinstance(message, events.RunCall):
            self._start(message)
        elif isinstance(message, events.BackendAnswered):
            call = self._running.pop(message.exchange)
            reply = messages.CallAnswered(
                call_id=call.request.call_id,
                status=message.status,
                headers=message.headers,
                body=message.body,
            )
            self._links.post(
                events.SendReply(link=call.link, message=reply),
            )

    def _start(self, message: events.RunCall) -> None:
        request = message.request
        exchange = ids.ExchangeId(request.call_id)
        self._running[exchange] = message
        self._backend.post(
            events.StartRequest(
                exchange=exchange,
                method=request.method,
                target=request.target,
                headers=request.headers,
                body=request.body,
                deadline=request.deadline,
            ),
        )


def main() -> None:
    """Measure both owners alternately, so that noise affects both."""
    samples: dict[str, list[float]] = {'plain': [], 'owner': [], 'keyed': []}
    for _ in range(_ROUNDS):
        samples['plain'].append(_measure(_plain_owner(), keyed=False))
        samples['owner'].append(_measure(_real_owner(), keyed=False))
        samples['keyed'].append(_measure(_real_owner(), keyed=True))
    for name, times_us in samples.items():
        print(f'{name}_microseconds_per_call={statistics.median(times_us):.1f}')


def _plain_owner() -> task.Task:
    return PlainOwner(links=Discard(name='links'), backend=Discard(name='b'))


def _real_owner() -> task.Task:
    clock = time.monotonic
    real_owner = owner.Owner(
        hello=messages.Hello(
            instance=_INSTANCE,
            incarnation=_INCARNATION,
            region=ids.RegionName('r'),
            data_centre=ids.DataCentreName('d'),
        ),
        links=Discard(name='links'),
        reactor=twisted_task.Clock(),
        clock=clocks.Clocks(monotonic=clock),
        counters=telemetry.Counters(),
        records=telemetry.RecordLog(),
    )
    real_owner.backend = Discard(name='backend')
    real_owner.local_instance = local_instance.LocalInstance(
        instance=_INSTANCE,
        team=_TEAM,
        service=_SERVICE,
        peers=(),
    )
    real_owner.admission = admission.Admission(
        bounds=admission.Limits(
            slots=6,
            floors=dict.fromkeys(states.Rank, 0.2),
            queue_limit=64,
        ),
    )
    real_owner.quarantine = quarantine.Quarantine(service=_SERVICE)
    return real_owner


def _measure(measured_owner: task.Task, *, keyed: bool) -> float:
    inputs = [_messages(number, keyed=keyed) for number in range(1, _CALLS)]
    started_at = time.perf_counter()
    _post_all(measured_owner.post, inputs)
    spent = time.perf_counter() - started_at
    return spent / len(inputs) * _US_PER_SECOND


def _post_all(
    post: Callable[[object], None],
    inputs: list[tuple[events.RunCall, events.BackendAnswered]],
) -> None:
    for call, answer in inputs:
        post(call)
        post(answer)


def _messages(
    number: int,
    *,
    keyed: bool,
) -> tuple[events.RunCall, events.BackendAnswered]:
    key = keys.issue_key(
        instance=_INSTANCE,
        incarnation=_INCARNATION,
        issued_at=time.time(),
    )
    request = messages.CallRequest(
        call_id=ids.CallId(number),
        team=_TEAM,
        service=_SERVICE,
        method=b'POST' if keyed else b'GET',
        target=b'/digest/%d' % number,
        headers=((b'host', b'digest-portal.agency'),),
        body=bytes(1024),
        rank=states.Rank.NORMAL,
        idempotent=not keyed,
        deadline=time.monotonic() + 60,
        request_key=key if keyed else None,
    )
    answer = events.BackendAnswered(
        exchange=ids.ExchangeId(number),
        status=200,
        headers=((b'content-type', b'text/html'),),
        body=bytes(200),
    )
    return events.RunCall(link=ids.LinkId(1), request=request), answer


if __name__ == '__main__':
    main()
