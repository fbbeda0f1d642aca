"""Requests of callers: limits, request smuggling, slow senders and order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import task

from medlarquay import events, ids, states, transport
from medlarquay.testing import memory_transport

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
_POST = b'POST /x HTTP/1.1\r\nHost: a\r\n'
_WHOLE = _POST + b'Content-Length: 3\r\n\r\nabc'
_CHUNKED = (
    _POST + b'Transfer-Encoding: chunked\r\n\r\n'
    b'1\r\na\r\n2\r\nbc\r\n0\r\nHost: b\r\n\r\n'
)


class _Caller:
    """Connection of a caller, with all events that it delivered."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.delivered: list[object] = []
        self.wire = memory_transport.MemoryTransport()
        self.connection = transport.CallerConnection(
            caller=ids.CallerId(1),
            deliver=self.delivered.append,
            reactor=self.clock,
        )
        self.connection.makeConnection(self.wire)

    def send(self, data: bytes) -> None:
        """Receive bytes from the caller."""
        self.connection.dataReceived(data)

    def answer(
        self,
        body: bytes = b'',
        status: int = 200,
        *,
        close: bool = False,
    ) -> None:
        """Answer the request in progress."""
        self.connection.answer(
            events.AnswerReady(
                caller=ids.CallerId(1),
                status=status,
                headers=(),
                body=body,
                close=close,
            ),
        )

    def reasons(self) -> list[states.RefusalReason]:
        """Return the reasons of all rejections; fail on a delivered request."""
        return [message.reason for message in self.delivered]


@pytest.fixture
def caller() -> _Caller:
    """Return a new connection."""
    return _Caller()


@pytest.mark.parametrize(
    'data',
    [
        _POST + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n',
        _POST + b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n',
        _POST + b'Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc',
        _POST + b'Content-Length: 3, 3\r\n\r\nabc',
        _POST + b'Content-Length: +3\r\n\r\nabc',
        _POST + b'Content-Length : 3\r\n\r\nabc',
        _POST + b'X: a\r\n b\r\n\r\n',
        _POST + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        _POST + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
        _POST + b'Transfer-Encoding: chunked\r\n\r\n1\nx\n0\n\n',
        _POST + b'Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n',
        _POST + b'Host: b\r\n\r\n',
        _POST + b'Expect: magic\r\n\r\n',
        _POST + b'Connection: upgrade\r\nUpgrade: h2c\r\n\r\n',
        b'GET /x HTTP/1.1\nHost: a\n\n',
        b'GET /x HTTP/1.1\r\nHost: a\nX: b\r\n\r\n',
        b'GET /x HTTP/1.1\r\nHost: a\0\r\n\r\n',
        b'GET /x HTTP/1.1\r\n\r\n',
        b'GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n',
        b'POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'CONNECT b:1 HTTP/1.1\r\nHost: b:1\r\n\r\n',
        b'GET /x\r\n\r\n',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        b'\x16\x03\x01\x02\x00\x01\x00',
    ],
)
def test_an_ambiguous_request_is_refused_and_ends_the_connection(
    caller: _Caller,
    data: bytes,
) -> None:
    """Guards against request smuggling: two servers parse it differently."""
    caller.send(data + _GET)
    assert caller.reasons() == [states.RefusalReason.MALFORMED]
    caller.answer(status=400)
    assert b'connection: close' in caller.wire.value()
    caller.send(_GET)
    caller.clock.advance(3)
    assert caller.wire.aborted
    assert len(caller.delivered) == 1


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (b'GET /' + b'x' * 20000, states.RefusalReason.HEADER_TOO_LARGE),
        (_POST + b'X: a\r\n' * 9000, states.RefusalReason.HEADER_TOO_LARGE),
        (
            _POST + b'Content-Length: 1048577\r\n\r\n',
            states.RefusalReason.BODY_TOO_LARGE,
        ),
        (
            _POST
            + b'Transfer-Encoding: chunked\r\n\r\n110000\r\n'
            + bytes(1048577),
            states.RefusalReason.BODY_TOO_LARGE,
        ),
    ],
)
def test_an_oversized_request_is_refused(
    caller: _Caller,
    data: bytes,
    reason: states.RefusalReason,
) -> None:
    """Guards against a caller that exhausts the memory of the node."""
    caller.send(data)
    assert caller.reasons() == [reason]


@settings(derandomize=True, max_examples=80, deadline=None)
@given(cuts=st.lists(st.integers(0, 200), max_size=12))
def test_requests_do_not_depend_on_how_bytes_arrive(cuts: list[int]) -> None:
    """Guards against splitting or joining requests at packet boundaries."""
    caller = _Caller()
    data = _WHOLE + _GET + _CHUNKED + _WHOLE
    bounds = [0, *sorted(cuts), len(data)]
    for start, end in zip(bounds, bounds[1:], strict=False):
        caller.send(data[start:end])
    for number in range(4):
        assert len(caller.delivered) == number + 1
        caller.answer(b'%d' % number)
    requests = [(message.method, message.body) for message in caller.delivered]
    post = (b'POST', b'abc')
    assert requests == [post, (b'GET', b''), post, post]
    hosts = {dict(message.headers)[b'host'] for message in caller.delivered}
    assert hosts == {b'a'}
    bodies = caller.wire.value().split(b'\r\n\r\n')[1:]
    assert [body[:1] for body in bodies] == [b'0', b'1', b'2', b'3']


def test_an_answer_without_a_request_is_not_written(caller: _Caller) -> None:
    """Guards against a duplicate answer read as that to the next request."""
    caller.answer(b'early')
    caller.send(_GET)
    caller.answer(b'good')
    caller.answer(b'again')
    caller.send(_GET)
    assert caller.wire.value().count(b'HTTP/1.1') == 1
    assert caller.wire.value().endswith(b'good')


def test_garbage_after_a_request_does_not_refuse_that_request(
    caller: _Caller,
) -> None:
    """Guards against reporting a delivered request as not run."""
    caller.send(_GET + b'\0garbage')
    assert isinstance(caller.delivered[0], events.RequestReceived)
    assert len(caller.delivered) == 1
    caller.answer(b'good')
    assert isinstance(caller.delivered[1], events.RequestRejected)
    assert caller.wire.value().endswith(b'good')


@pytest.mark.parametrize(
    ('data', 'limit'),
    [(b'GET /x HTTP/1.1\r\n', 10), (_WHOLE[:-1], 30)],
)
def test_a_slow_sender_is_refused(
    caller: _Caller,
    data: bytes,
    limit: float,
) -> None:
    """Guards against connections occupied by requests that never complete."""
    caller.send(data)
    caller.clock.advance(limit - 1)
    assert not caller.delivered
    caller.clock.advance(1.1)
    assert caller.reasons() == [states.RefusalReason.REQUEST_TOO_SLOW]


def test_trickled_bytes_do_not_extend_the_deadline(caller: _Caller) -> None:
    """Guards against a sender of one byte per second that is never refused."""
    for byte in _GET[:11]:
        caller.send(bytes([byte]))
        caller.clock.advance(1)
    assert caller.reasons() == [states.RefusalReason.REQUEST_TOO_SLOW]


def test_idle_and_answer_times_do_not_count_as_slow_sending(
    caller: _Caller,
) -> None:
    """Guards against refusing an idle caller, or one that awaits its answer."""
    caller.send(_GET[:9])
    caller.send(_GET[9:])
    caller.clock.advance(99)
    caller.answer(b'good')
    caller.clock.advance(99)
    caller.send(_GET)
    assert [type(message) for message in caller.delivered] == [
        events.RequestReceived,
        events.RequestReceived,
    ]


def test_continue_is_sent_before_the_body_only(caller: _Caller) -> None:
    """Guards against a caller that waits in vain for ``100 Continue``."""
    head = _POST + b'Expect: 100-continue\r\nContent-Length: 3\r\n\r\n'
    caller.send(_GET + head)
    assert not caller.wire.value()
    caller.answer(b'one')
    assert caller.wire.value().endswith(
        b'one' + b'HTTP/1.1 100 Continue\r\n\r\n'
    )
    caller.send(b'abc')
    assert caller.delivered[1].body == b'abc'
    assert caller.wire.value().count(b'100 Continue') == 1


@pytest.mark.parametrize(
    ('request_line', 'status', 'closes'),
    [
        (b'HEAD /x HTTP/1.1', 200, False),
        (b'GET /x HTTP/1.1', 204, False),
        (b'GET /x HTTP/1.1', 304, False),
        (b'HEAD /x HTTP/1.0', 200, True),
        (b'HEAD /x HTTP/1.0\r\nConnection: keep-alive', 200, True),
    ],
)
def test_answers_without_a_body(
    caller: _Caller,
    request_line: bytes,
    status: int,
    closes: bool,
) -> None:
    """Guards against body bytes parsed as the start of the next answer."""
    caller.send(request_line + b'\r\nHost: a\r\n\r\n')
    caller.answer(b'body', status=status)
    assert caller.wire.value().endswith(b'\r\n\r\n')
    assert b'content-length' not in caller.wire.value()
    assert caller.wire.disconnecting is closes


def test_too_many_pipelined_bytes_pause_reading(
    caller: _Caller,
) -> None:
    """Guards against memory exhausted while an answer is awaited."""
    caller.send(_GET)
    for _ in range(20):
        caller.send(_GET * 200)
    assert caller.wire.producerState == 'paused'
    caller.answer()
    assert caller.wire.producerState == 'producing'
    assert len(caller.delivered) == 2


@pytest.mark.parametrize('data', [_GET[:9], _WHOLE[:-1]])
def test_graceful_close_refuses_a_partial_request(
    caller: _Caller,
    data: bytes,
) -> None:
    """Guards against a partial request closed without an answer at a stop."""
    caller.send(data)
    caller.connection.close_gracefully()
    assert caller.reasons() == [states.RefusalReason.DRAINING]
    caller.answer(status=503)
    assert b'HTTP/1.1 503' in caller.wire.value()
    assert b'connection: close' in caller.wire.value()
    caller.clock.advance(3)
    assert caller.wire.aborted


def test_graceful_close_closes_an_idle_connection(caller: _Caller) -> None:
    """Guards against a stop that waits for idle callers."""
    caller.send(_GET)
    caller.answer()
    caller.connection.close_gracefully()
    assert caller.wire.disconnecting
    assert len(caller.delivered) == 1


def test_pipelined_requests_do_not_cut_off_the_last_answer(
    caller: _Caller,
) -> None:
    """Guards against a TCP reset, due to unread bytes, that loses an answer."""
    caller.send(_GET)
    caller.send(_GET * 4000)
    caller.answer(b'last', close=True)
    assert caller.wire.value().endswith(b'last')
    assert caller.wire.producerState == 'producing'
    caller.send(_GET)
    assert not caller.wire.disconnecting
    caller.clock.advance(2.1)
    assert caller.wire.aborted
    assert len(caller.delivered) == 1
