"""Endless bytes from a backend server that never form an answer."""

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
# A head may be as large as its limit; the next read shows that it exceeds it.
_HEAD_BYTES = 4 * http_limits.MAX_HEADER_BYTES + 2 * _READ_BYTES
_BODY_BYTES = http_limits.MAX_ANSWER_BYTES + 2 * _READ_BYTES
_STOPPED_AT = 16 * http_limits.MAX_ANSWER_BYTES


class _Exchange:
    """Connection with one request, to a server that never stops sending."""

    def __init__(self, method: bytes = b'GET') -> None:
        self.delivered: list[object] = []
        self.released: list[object] = []
        self.connection = transport.BackendConnection(
            on_result=self.delivered.append,
            on_idle=self.released.append,
            on_closed=lambda connection: None,
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
        """Receive ``begin``, then ``endless`` until the connection closes.

        Returns
        -------
        int
            Bytes received.
        """
        read = endless * (_READ_BYTES // len(endless) or 1)
        self.connection.dataReceived(begin)
        received = len(begin)
        while not self.wire.aborted and received < _STOPPED_AT:
            self.connection.dataReceived(read)
            received += len(read)
        return received


@contextlib.contextmanager
def _traced_memory() -> Iterator[Callable[[], int]]:
    """Yield a function that returns the peak of memory used, in bytes."""
    peaks: list[int] = []
    tracemalloc.start()
    try:
        yield lambda: peaks[0]
    finally:
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()


def _failure(exchange: _Exchange) -> events.BackendFailed:
    assert len(exchange.delivered) == 1
    failure = exchange.delivered[0]
    assert isinstance(failure, events.BackendFailed)
    return failure


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
def test_endless_bytes_outside_bodies_are_refused(
    begin: bytes, endless: bytes
) -> None:
    """Guards against endless bytes outside a body, such as a header or trailer.

    A backend server that sends them would hold a slot and memory until the
    caller closes.
    """
    exchange = _Exchange()
    with _traced_memory() as peak:
        received = exchange.receive(begin, endless)
    assert exchange.wire.aborted
    assert received <= _HEAD_BYTES
    assert peak() <= 8 * _HEAD_BYTES
    failure = _failure(exchange)
    assert (failure.sent, failure.reset, failure.too_large) == (
        True,
        False,
        False,
    )
    assert not exchange.released


@pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        pytest.param(_OK + b'\r\n', b'x', id='no-length'),
        pytest.param(_CHUNKED, b'400\r\n%b\r\n' % bytes(1024), id='chunked'),
        pytest.param(_CHUNKED, b'2\r\nxx\r\n', id='small-chunks'),
    ],
)
def test_an_endless_body_is_refused(begin: bytes, endless: bytes) -> None:
    """Guards against memory exhausted by an endless body, however chunked."""
    exchange = _Exchange()
    with _traced_memory() as peak:
        received = exchange.receive(begin, endless)
    assert exchange.wire.aborted
    assert received <= 5 * _BODY_BYTES
    assert peak() <= 4 * http_limits.MAX_ANSWER_BYTES
    failure = _failure(exchange)
    assert (failure.sent, failure.reset, failure.too_large) == (
        True,
        False,
        True,
    )


def test_a_too_large_content_length_is_refused_at_once() -> None:
    """Guards against reading a megabyte of an answer that is refused anyway."""
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
def test_content_length_of_an_answer_without_body_is_ignored(
    method: bytes,
    head: bytes,
) -> None:
    """Guards against refusing an answer for the length of a body it lacks."""
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
def test_bytes_after_an_answer_close_the_connection(
    method: bytes,
    answer: bytes,
    endless: bytes,
    together: bool,
) -> None:
    """Guards against surplus bytes parsed as the answer to the next request."""
    exchange = _Exchange(method)
    received = exchange.receive(answer + endless * together, endless)
    assert received <= len(answer) + 2 * _READ_BYTES
    assert len(exchange.delivered) == 1
    assert isinstance(exchange.delivered[0], events.BackendAnswered)
    assert exchange.wire.aborted
    assert not exchange.released or not together


def test_a_body_of_many_small_chunks_is_accepted() -> None:
    """Guards against framing limits that refuse a valid chunked answer."""
    exchange = _Exchange()
    chunks = b'1\r\nx\r\n' * 200_000
    exchange.connection.dataReceived(_CHUNKED)
    for start in range(0, len(chunks), _READ_BYTES):
        exchange.connection.dataReceived(chunks[start : start + _READ_BYTES])
    exchange.connection.dataReceived(b'0\r\n\r\n')
    answer = exchange.delivered[0]
    assert isinstance(answer, events.BackendAnswered)
    assert answer.body == b'x' * 200_000


def test_late_and_interim_answers_stay_within_the_limits() -> None:
    """Guards against limits that refuse an answer preceded by other answers."""
    exchange = _Exchange()
    late = b'x' * 500_000
    exchange.connection.dataReceived(
        b'HTTP/1.1 100 Continue\r\n\r\n' * 20
        + _OK
        + b'Request-Id: a0\r\nContent-Length: %d\r\n\r\n%b' % (len(late), late)
        + _ANSWER % b'a1',
    )
    answer = exchange.delivered[0]
    assert isinstance(answer, events.BackendAnswered)
    assert answer.body == b'ok'
