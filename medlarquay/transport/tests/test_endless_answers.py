"""Bytes of a backend server that have no end and are no answer."""

import contextlib
import tracemalloc
from collections.abc import Callable, Iterator

import pytest

from medlarquay import events, ids, transport
from medlarquay.testing import memory_transport
from medlarquay.transport import http_limits

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
_ANSWER = _OK + b'Request-Id: %b\r\nContent-Length: 2\r\n\r\nok'
_NAMES = transport.HeaderNames(request_id=b'request-id')
_READ_BYTES = 16_384
# A head may take its limit, and a read more shows that it has passed it.
_HEAD_BYTES = 4 * http_limits.MAX_HEADER_BYTES + 2 * _READ_BYTES
_BODY_BYTES = http_limits.MAX_ANSWER_BYTES + 2 * _READ_BYTES
_STOPPED_AT = 16 * http_limits.MAX_ANSWER_BYTES


class _Exchange:
    """A connection with one request, and a server that never ends."""

    def __init__(self, method: bytes = b'GET') -> None:
        self.delivered: list[object] = []
        self.released: list[object] = []
        self.connection = transport.BackendConnection(
            deliver=self.delivered.append,
            release=self.released.append,
            closed=lambda connection: None,
            names=_NAMES,
        )
        self.wire = memory_transport.MemoryTransport()
        self.connection.makeConnection(self.wire)
        self.connection.start(
            events.StartRequest(
                exchange=ids.ExchangeId(1),
                method=method,
                target=b'/',
                headers=((b'request-id', b'a1'),),
                body=b'',
                deadline=9,
            ),
        )

    def receive(self, begin: bytes, endless: bytes) -> int:
        """Receive until the connection is closed; return the bytes read."""
        read = endless * (_READ_BYTES // len(endless) or 1)
        self.connection.dataReceived(begin)
        received = len(begin)
        while not self.wire.aborted and received < _STOPPED_AT:
            self.connection.dataReceived(read)
            received += len(read)
        return received


@contextlib.contextmanager
def _traced_memory() -> Iterator[Callable[[], int]]:
    """Give a function that returns the most memory used, in bytes."""
    found: list[int] = []
    tracemalloc.start()
    try:
        yield lambda: found[0]
    finally:
        found.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()


def _failure(exchange: _Exchange) -> events.BackendFailed:
    assert len(exchange.delivered) == 1
    found = exchange.delivered[0]
    assert isinstance(found, events.BackendFailed)
    return found


@pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        pytest.param(b'HTTP/1.1 200 O', b'k', id='reason'),
        pytest.param(_OK + b'X', b'x', id='field-name'),
        pytest.param(_OK + b'X: ', b'x', id='field-value'),
        pytest.param(_OK + b'X:', b' ', id='space-before-value'),
        pytest.param(_OK, b'X: a\r\n', id='fields'),
        pytest.param(_OK, b'X:\r\n', id='empty-fields'),
        pytest.param(b'', b'HTTP/1.1 100 Continue\r\n\r\n', id='continue'),
        pytest.param(
            b'',
            b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
            id='early-hints',
        ),
        pytest.param(b'', _ANSWER % b'a0', id='answers-to-others'),
        pytest.param(_CHUNKED + b'1;', b'extension', id='chunk-extension'),
        pytest.param(_CHUNKED, b'0' * 16, id='chunk-length'),
        pytest.param(_CHUNKED + b'0\r\nX: ', b'x', id='trailer-value'),
        pytest.param(_CHUNKED + b'0\r\n', b'X: a\r\n', id='trailers'),
        pytest.param(b'', b'\r\n', id='empty-lines'),
        pytest.param(b'', b'x', id='noise'),
    ],
)
def test_bytes_around_a_body_are_bounded(begin: bytes, endless: bytes) -> None:
    """Guards against a slot and memory held until the caller closes."""
    exchange = _Exchange()
    with _traced_memory() as peak:
        received = exchange.receive(begin, endless)
    assert exchange.wire.aborted
    assert received <= _HEAD_BYTES
    assert peak() <= 8 * _HEAD_BYTES
    found = _failure(exchange)
    assert (found.sent, found.reset, found.too_large) == (True, False, False)
    assert not exchange.released


@pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        pytest.param(_OK + b'\r\n', b'x', id='no-length'),
        pytest.param(_CHUNKED, b'400\r\n%b\r\n' % bytes(1024), id='chunked'),
        pytest.param(_CHUNKED, b'2\r\nxx\r\n', id='small-chunks'),
    ],
)
def test_a_body_without_end_is_bounded(begin: bytes, endless: bytes) -> None:
    """Guards against memory used up by a body, whatever its pieces."""
    exchange = _Exchange()
    with _traced_memory() as peak:
        received = exchange.receive(begin, endless)
    assert exchange.wire.aborted
    assert received <= 5 * _BODY_BYTES
    assert peak() <= 4 * http_limits.MAX_ANSWER_BYTES
    found = _failure(exchange)
    assert (found.sent, found.reset, found.too_large) == (True, False, True)


def test_a_body_announced_as_too_large_is_not_awaited() -> None:
    """Guards against a megabyte read of an answer that cannot be passed on."""
    exchange = _Exchange()
    exchange.connection.dataReceived(_OK + b'Content-Length: 1048577\r\n\r\n')
    assert exchange.wire.aborted
    assert _failure(exchange).too_large


@pytest.mark.parametrize(
    ('method', 'head'),
    [
        (b'HEAD', _OK + b'Content-Length: 1048577\r\n\r\n'),
        (b'GET', b'HTTP/1.1 304 N\r\nContent-Length: 1048577\r\n\r\n'),
    ],
)
def test_a_length_without_a_body_is_no_limit(
    method: bytes,
    head: bytes,
) -> None:
    """Guards against an answer refused for a body that it does not have."""
    exchange = _Exchange(method)
    exchange.connection.dataReceived(head)
    assert isinstance(exchange.delivered[0], events.BackendAnswered)


@pytest.mark.parametrize(
    ('method', 'answer'),
    [
        (b'HEAD', _OK + b'Content-Length: 5\r\n\r\n'),
        (b'HEAD', _CHUNKED),
        (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        (b'GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n'),
        (b'GET', _OK + b'Content-Length: 2\r\n\r\nok'),
        (b'GET', _CHUNKED + b'2\r\nok\r\n0\r\n\r\n'),
    ],
)
@pytest.mark.parametrize(
    'endless',
    [b'x', b'HTTP/1.1 100 Continue\r\n\r\n', _ANSWER % b'a1', b'\0'],
)
@pytest.mark.parametrize('together', [True, False])
def test_bytes_after_an_answer_end_the_connection(
    method: bytes,
    answer: bytes,
    endless: bytes,
    together: bool,
) -> None:
    """Guards against the rest of an answer read as the next one."""
    exchange = _Exchange(method)
    received = exchange.receive(answer + endless * together, endless)
    assert received <= len(answer) + 2 * _READ_BYTES
    assert len(exchange.delivered) == 1
    assert isinstance(exchange.delivered[0], events.BackendAnswered)
    assert exchange.wire.aborted
    assert not exchange.released or not together


def test_many_small_chunks_are_one_body() -> None:
    """Guards against a limit that a slow but whole answer meets."""
    exchange = _Exchange()
    chunks = b'1\r\nx\r\n' * 200_000
    exchange.connection.dataReceived(_CHUNKED)
    for start in range(0, len(chunks), _READ_BYTES):
        exchange.connection.dataReceived(chunks[start : start + _READ_BYTES])
    exchange.connection.dataReceived(b'0\r\n\r\n')
    found = exchange.delivered[0]
    assert isinstance(found, events.BackendAnswered)
    assert found.body == b'x' * 200_000


def test_a_late_answer_and_interim_ones_are_within_the_bounds() -> None:
    """Guards against a bound that an answer after others meets."""
    exchange = _Exchange()
    late = b'x' * 500_000
    exchange.connection.dataReceived(
        b'HTTP/1.1 100 Continue\r\n\r\n' * 20
        + _OK
        + b'Request-Id: a0\r\nContent-Length: %d\r\n\r\n%b' % (len(late), late)
        + _ANSWER % b'a1',
    )
    found = exchange.delivered[0]
    assert isinstance(found, events.BackendAnswered)
    assert found.body == b'ok'
