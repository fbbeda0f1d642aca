"""Answers of a backend server: complete, truncated, oversized, unsolicited."""

import pytest
from twisted.internet import error
from twisted.python import failure

from medlarquay import events, ids, transport
from medlarquay.testing import memory_transport

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_CLOSED = failure.Failure(error.ConnectionDone())


class _Exchange:
    """Connection to a backend server with one request sent on it."""

    def __init__(self, method: bytes = b'GET') -> None:
        self.delivered: list[object] = []
        self.released: list[object] = []
        self.connection = transport.BackendConnection(
            on_result=self.delivered.append,
            on_idle=self.released.append,
            on_closed=lambda connection: None,
        )
        self.wire = memory_transport.MemoryTransport()
        self.connection.makeConnection(self.wire)
        self.start(1, method)

    def start(self, number: int, method: bytes = b'GET') -> None:
        """Send a request."""
        self.connection.start(
            events.StartRequest(
                exchange=ids.ExchangeId(number),
                method=method,
                target=b'/',
                headers=(),
                body=b'',
                deadline=9,
            ),
        )

    def receive(self, data: bytes) -> None:
        """Receive bytes one by one; the result must not depend on that."""
        for byte in data:
            self.connection.dataReceived(bytes([byte]))


def test_a_connection_is_reused_after_a_whole_answer() -> None:
    """Guards against a new connection for each request."""
    exchange = _Exchange()
    exchange.receive(_OK[:-1])
    assert not exchange.released
    exchange.receive(_OK[-1:])
    exchange.start(2)
    exchange.connection.dataReceived(_OK)
    assert [answer.body for answer in exchange.delivered] == [b'ok', b'ok']
    assert len(exchange.released) == 2


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\n\r\nends with the connection',
        b'HTTP/1.1 100 Continue\r\n\r\n',
    ],
)
def test_a_truncated_answer_is_a_failure(data: bytes) -> None:
    """Guards against forwarding a truncated answer as a complete one."""
    exchange = _Exchange()
    exchange.receive(data)
    assert not exchange.delivered
    exchange.connection.connectionLost(_CLOSED)
    assert exchange.delivered == [
        events.BackendFailed(
            exchange=ids.ExchangeId(1),
            sent=True,
            connection_refused=False,
            reset=True,
        ),
    ]
    assert not exchange.released


@pytest.mark.parametrize(
    ('data', 'too_large'),
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n', True),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n',
            True,
        ),
        (b'HTTP/1.1 200 OK\r\n' + b'X: a\r\n' * 9000 + b'\r\n', False),
        (b'no http', False),
        (b'HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n', False),
    ],
)
def test_a_bad_answer_is_a_failure_at_once(
    data: bytes,
    too_large: bool,
) -> None:
    """Guards against memory exhausted by an oversized or malformed answer."""
    exchange = _Exchange()
    exchange.connection.dataReceived(data + bytes(2000000) * too_large)
    assert len(exchange.delivered) == 1
    failed = exchange.delivered[0]
    assert isinstance(failed, events.BackendFailed)
    assert failed.too_large is too_large
    assert exchange.wire.aborted


def test_interim_answers_are_skipped() -> None:
    """Guards against forwarding status 100 or 103 to the caller."""
    exchange = _Exchange()
    exchange.receive(b'HTTP/1.1 100 Continue\r\n\r\n')
    exchange.receive(b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n')
    exchange.receive(_OK)
    assert len(exchange.delivered) == 1
    answer = exchange.delivered[0]
    assert (answer.status, answer.headers, answer.body) == (200, (), b'ok')


@pytest.mark.parametrize(
    ('method', 'data'),
    [
        (b'HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'),
        (b'HEAD', b'HTTP/1.1 200 OK\r\n\r\n'),
        (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        (b'GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n'),
    ],
)
def test_answers_without_a_body_are_whole(method: bytes, data: bytes) -> None:
    """Guards against waiting for a body that never comes."""
    exchange = _Exchange(method)
    exchange.receive(data)
    assert len(exchange.delivered) == 1
    answer = exchange.delivered[0]
    assert (type(answer), answer.body) == (events.BackendAnswered, b'')
    assert exchange.released


@pytest.mark.parametrize('extra', [_OK, b'HTTP/1.1', b'\0', b'x' * 9])
def test_unsolicited_bytes_close_the_connection(extra: bytes) -> None:
    """Guards against surplus bytes parsed as the answer to the next request."""
    exchange = _Exchange()
    exchange.connection.dataReceived(_OK + extra)
    assert [answer.body for answer in exchange.delivered] == [b'ok']
    assert (exchange.released, exchange.wire.aborted) == ([], True)
    late = _Exchange()
    late.receive(_OK)
    late.connection.dataReceived(extra)
    assert not late.connection.usable


def test_closing_an_idle_connection_fails_no_request() -> None:
    """Guards against a request sent on, or failed by, a stale connection."""
    exchange = _Exchange()
    exchange.receive(_OK)
    assert exchange.connection.usable
    exchange.connection.connectionLost(_CLOSED)
    assert not exchange.connection.usable
    assert len(exchange.delivered) == 1
