"""Answers that must echo the request id and carry a receipt."""

import pytest
from twisted.internet import error
from twisted.python import failure

from medlarquay import events, ids, transport
from medlarquay.testing import memory_transport

_NAMES = transport.HeaderNames(request_id=b'id', receipt=b'receipt')
_CLOSED = failure.Failure(error.ConnectionDone())
_RESET = failure.Failure(error.ConnectionLost())


def _answer(request_id: str, body: str, *fields: str) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Id: {request_id}',
        'Receipt: r',
        f'Content-Length: {len(body)}',
        *fields,
    )
    return '\r\n'.join((*lines, '', body)).encode()


class _Exchange:
    """Connection to a backend server with the request ``one`` sent on it."""

    def __init__(self) -> None:
        self.delivered: list[events.BackendAnswered | events.BackendFailed] = []
        self.released: list[object] = []
        self.connection = transport.BackendConnection(
            on_result=self.delivered.append,
            on_idle=self.released.append,
            on_closed=lambda connection: None,
            names=_NAMES,
        )
        self.connection.makeConnection(memory_transport.MemoryTransport())
        self.connection.start(
            events.StartRequest(
                exchange=ids.ExchangeId(1),
                method=b'GET',
                target=b'/',
                headers=((b'id', b'one'),),
                body=b'',
                deadline=9,
            ),
        )

    def bodies(self) -> list[bytes | None]:
        """Return the bodies delivered; None for a failure."""
        return [getattr(answer, 'body', None) for answer in self.delivered]


def test_a_late_answer_to_an_earlier_request_is_skipped() -> None:
    """Guards against the answer to one request delivered for another."""
    exchange = _Exchange()
    exchange.connection.dataReceived(_answer('zero', 'late'))
    assert not exchange.delivered
    exchange.connection.dataReceived(_answer('one', 'own'))
    assert exchange.bodies() == [b'own']
    # Further late answers may follow, so the connection must not be reused.
    assert not exchange.released


@pytest.mark.parametrize(
    'data',
    [
        b'HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nReceipt: r\r\nContent-Length: 2\r\n\r\nok',
        _answer('one', 'ok', 'Content-Encoding: gzip'),
    ],
)
def test_a_success_without_request_id_or_receipt_is_a_failure(
    data: bytes,
) -> None:
    """Guards against a success that no backend server sent for this request.

    The answer has no receipt, doesn't echo the request id, or is encoded.
    """
    exchange = _Exchange()
    exchange.connection.dataReceived(data)
    assert exchange.bodies() == [None]
    assert not exchange.released


def test_a_failure_status_needs_no_receipt() -> None:
    """Guards against a known failure reported as an unknown outcome."""
    exchange = _Exchange()
    exchange.connection.dataReceived(
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n',
    )
    assert exchange.bodies() == [b'']


@pytest.mark.parametrize(
    ('reason', 'expected'),
    [(_CLOSED, [b'whole']), (_RESET, [None])],
)
def test_only_an_orderly_close_ends_an_answer_without_length(
    reason: failure.Failure,
    expected: list[bytes | None],
) -> None:
    """Guards against accepting an answer that a reset cut off."""
    exchange = _Exchange()
    exchange.connection.dataReceived(
        b'HTTP/1.1 200 OK\r\nId: one\r\nReceipt: r\r\n\r\nwhole',
    )
    exchange.connection.connectionLost(reason)
    assert exchange.bodies() == expected
