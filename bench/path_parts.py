"""Time of the parts of one call, each measured alone in one process."""

import statistics
import timeit
from collections.abc import Callable

from twisted.internet import task as cooperation
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
        deliver=_ignore,
        reactor=cooperation.Clock(),
    )
    connection.makeConnection(_Sink())
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
        on_result=_ignore,
        on_idle=_ignore,
        on_closed=_ignore,
    )
    connection.makeConnection(_Sink())
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
    """Return a function that carries one frame over a pair of links."""
    first = transport.Link.connecting(
        path='/calls',
        opened=_ignore,
        received=_ignore,
        closed=_ignore,
    )
    second = transport.Link.accepting(
        opened=_ignore, received=_ignore, closed=_ignore
    )
    pipes = (_Sink(), _Sink())
    second.makeConnection(pipes[1])
    first.makeConnection(pipes[0])
    second.dataReceived(pipes[0].take())
    first.dataReceived(pipes[1].take())

    def carry() -> None:  # noqa: WPS430
        first.send(frame)
        second.dataReceived(pipes[0].take())

    return carry


def _ignore(*given: object) -> None:
    """Ignore a report of a link or connection."""


def _poster() -> Callable[[], object]:
    receiver = _Receiver(name='receiver')
    message = events.LinkClosed(link=ids.LinkId(1))
    return lambda: receiver.post(message)


class _Receiver(task.Task):
    """Ignores its messages."""

    def receive(self, message: object) -> None:
        """Ignore one message."""


class _Sink(StringTransport):
    """Transport that collects what is written."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: FBT001, N802
        """Accept the option."""

    def take(self) -> bytes:
        """Return and forget what was written."""
        written = self.value()
        self.clear()
        return bytes(written)


if __name__ == '__main__':
    main()
