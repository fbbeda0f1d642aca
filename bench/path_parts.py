"""Time of the parts of one call, each measured separately in one process.

Prints ``part_NAME_us=value``, one per line, in microseconds.
"""

import statistics
import timeit
from collections.abc import Callable

from twisted.internet import task as twisted_task
from twisted.internet.testing import StringTransport

from medlarquay import codec, events, ids, messages, states, transport
from medlarquay.tasks import task

__all__ = ('main',)

_ROUNDS = 15
_CALLS = 400
_US_PER_SECOND = 1000000
_REQUEST_BYTES = (
    b'POST /approve HTTP/1.1\r\n'
    b'Host: editorial-desk.agency\r\n'
    b'X-Request-Id: 1-approve-17\r\n'
    b'Request-Timeout-Ms: 2000\r\n'
    b'Idempotency-Key: 018bcfe5-6800-7000-8000-000000000001\r\n'
    b'content-length: 2\r\n\r\n{}'
)
_ANSWER_BYTES = (
    b'HTTP/1.1 200 OK\r\nx-backend: b\r\nx-request-id: 1-approve-17\r\n'
    b'content-length: 8\r\n\r\n/approve'
)
_HEADERS = (
    (b'host', b'editorial-desk.agency'),
    (b'x-request-id', b'1-approve-17'),
    (b'request-timeout-ms', b'2000'),
    (b'idempotency-key', b'018bcfe5-6800-7000-8000-000000000001'),
)


def main() -> None:
    """Print the median time of each part in microseconds."""
    for name, call in _parts().items():
        rounds = timeit.repeat(call, repeat=_ROUNDS, number=_CALLS)
        spent_us = statistics.median(rounds) / _CALLS * _US_PER_SECOND
        print(f'part_{name}_us={spent_us:.1f}')


def _parts() -> dict[str, Callable[[], object]]:
    request = _request()
    answer = messages.CallAnswered(
        call_id=ids.CallId(1),
        status=200,
        headers=_HEADERS[:2],
        body=b'/approve',
        load=messages.LoadState(slots=6, running=1, queued=0, service_time=0.1),
    )
    request_frame = codec.encode(request, now=0)
    answer_frame = codec.encode(answer, now=0)
    return {
        'parse_request': _request_parser(),
        'format_answer': _answer_writer(),
        'parse_answer': _answer_parser(),
        'encode_request': lambda: codec.encode(request, now=0),
        'decode_request': lambda: codec.decode(request_frame, now=0, peer='p'),
        'encode_answer': lambda: codec.encode(answer, now=0),
        'decode_answer': lambda: codec.decode(answer_frame, now=0, peer='p'),
        'link_both_ends': _link_sender(request_frame),
        'post_to_task': _poster(),
    }


def _request() -> messages.CallRequest:
    return messages.CallRequest(
        call_id=ids.CallId(1),
        team=ids.TeamName('agency'),
        service=ids.ServiceName('editorial-desk'),
        method=b'POST',
        target=b'/approve',
        headers=_HEADERS,
        body=b'{}',
        rank=states.Rank.URGENT,
        idempotent=False,
        deadline=2,
        request_key=ids.RequestKey('018bcfe5-6800-7000-8000-000000000001'),
    )


def _request_parser() -> Callable[[], object]:
    connection = transport.CallerConnection(
        caller=ids.CallerId(1),
        deliver=_ignore_report,
        reactor=twisted_task.Clock(),
    )
    connection.makeConnection(_MemoryTransport())
    answer = _answer_ready()

    def parse() -> None:  # noqa: WPS430
        connection.dataReceived(_REQUEST_BYTES)
        connection.answer(answer)

    return parse


def _answer_writer() -> Callable[[], object]:
    answer = _answer_ready()
    return lambda: transport.format_answer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        close=False,
    )


def _answer_ready() -> events.AnswerReady:
    return events.AnswerReady(
        caller=ids.CallerId(1),
        status=200,
        headers=_HEADERS[:3],
        body=b'/approve',
    )


def _answer_parser() -> Callable[[], object]:
    connection = transport.BackendConnection(
        on_result=_ignore_report,
        on_idle=_ignore_report,
        on_closed=_ignore_report,
    )
    connection.makeConnection(_MemoryTransport())
    start = events.StartRequest(
        exchange=ids.ExchangeId(1),
        method=b'POST',
        target=b'/approve',
        headers=_HEADERS,
        body=b'{}',
        deadline=2,
    )

    def exchange() -> None:  # noqa: WPS430
        connection.start(start)
        connection.dataReceived(_ANSWER_BYTES)

    return exchange


def _link_sender(frame: bytes) -> Callable[[], object]:
    """Return a function that sends one frame over a pair of links."""
    client = transport.Link.connecting(
        path='/calls',
        opened=_ignore_report,
        received=_ignore_report,
        closed=_ignore_report,
    )
    server = transport.Link.accepting(
        opened=_ignore_report, received=_ignore_report, closed=_ignore_report
    )
    transports = (_MemoryTransport(), _MemoryTransport())
    server.makeConnection(transports[1])
    client.makeConnection(transports[0])
    server.dataReceived(transports[0].take())
    client.dataReceived(transports[1].take())

    def send() -> None:  # noqa: WPS430
        client.send(frame)
        server.dataReceived(transports[0].take())

    return send


def _ignore_report(*report: object) -> None:
    """Ignore what a link or connection reports."""


def _poster() -> Callable[[], object]:
    receiver = _Receiver(name='receiver')
    message = events.LinkClosed(link=ids.LinkId(1))
    return lambda: receiver.post(message)


class _Receiver(task.Task):
    """Task that discards every message."""

    def receive(self, message: object) -> None:
        """Discard a message."""


class _MemoryTransport(StringTransport):
    """Transport that collects the written bytes in memory."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: FBT001, N802
        """Accept the option without effect."""

    def take(self) -> bytes:
        """Return the bytes written since the last call."""
        written = self.value()
        self.clear()
        return bytes(written)


if __name__ == '__main__':
    main()
