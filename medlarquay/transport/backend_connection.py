"""HTTP/1.1 connection to the local backend server."""

import socket
from collections.abc import Callable

from twisted.internet import error, protocol
from twisted.python import failure

from medlarquay import events, ids
from medlarquay.transport import (
    answer_assembler,
    header_names,
    http_limits,
    http_text,
    prompt_write,
)

__all__ = ('BackendConnection',)

_HEAD = b'HEAD'
_PLAIN = header_names.HeaderNames()


class BackendConnection(protocol.Protocol):
    """Carries one exchange at a time with the backend server.

    Parameters
    ----------
    on_result : callable
        Receives ``BackendAnswered`` or ``BackendFailed`` at the end of each
        exchange that is not aborted.
    on_idle : callable
        Called with this connection when it can carry another exchange.
    on_closed : callable
        Called with this connection when either side has closed it.
    names : HeaderNames
        Header fields that match an answer to its request and prove its
        origin.
    max_answer_bytes : int
        Largest body of an answer in bytes.

    Notes
    -----
    An answer is accepted only when it is complete, as proved by its content
    length or its last chunk. An answer that is delimited only by the end of the
    connection is a failure, because a crash of the backend server looks the
    same; it is accepted only if the backend servers set receipts and the close
    is orderly. The connection is reused only if no bytes followed the answer,
    since they would be read as the answer to the next request.
    """

    def __init__(
        self,
        *,
        on_result: Callable[
            [events.BackendAnswered | events.BackendFailed],
            None,
        ],
        on_idle: Callable[['BackendConnection'], None],
        on_closed: Callable[['BackendConnection'], None],
        names: header_names.HeaderNames = _PLAIN,
        max_answer_bytes: int = http_limits.MAX_ANSWER_BYTES,
    ) -> None:
        self._names = names
        self._max_answer_bytes = max_answer_bytes
        self._on_result = on_result
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._exchange: ids.ExchangeId | None = None
        self._lost = False
        self._received_bytes = 0
        self._answer: answer_assembler.AnswerAssembler | None = None

    @property
    def received_bytes(self) -> int:
        """Total of bytes received; grows while an answer arrives."""
        return self._received_bytes

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle.

        Also reads the socket: the backend server may have closed it since the
        last iteration of the reactor, and a request sent then would be lost
        with unknown outcome.
        """
        idle = self._exchange is None and not self._lost
        return idle and not self._closed_by_peer()

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm: requests are written whole."""
        self.transport.setTcpNoDelay(True)

    def start(self, message: events.StartRequest) -> None:
        """Send a request; its answer is delivered once."""
        self._exchange = message.exchange
        self._answer = answer_assembler.AnswerAssembler(
            head=message.method == _HEAD,
            names=self._names,
            request_id=_field(message, self._names.request_id),
            max_bytes=self._max_answer_bytes,
        )
        prompt_write.write_promptly(
            self.transport,
            http_text.format_request(
                method=message.method,
                target=message.target,
                headers=message.headers,
                body=message.body,
            ),
        )

    def abort(self) -> None:
        """Cancel the exchange by closing the connection."""
        self._exchange = None
        self._close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and deliver the answer they complete."""
        self._received_bytes += len(data)
        if self._exchange is None or self._answer is None:
            # No request is in progress, so these bytes answer nothing, and
            # neither can later bytes be matched to a request.
            self._close()
            return
        self._answer.feed(data)
        if self._answer.failed or self._answer.status is not None:
            self._finish(self._answer)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Deliver the result of an exchange that the connection loss ended."""
        self._lost = True
        orderly = isinstance(reason, failure.Failure) and reason.check(
            error.ConnectionDone,
        )
        if orderly and self._answer is not None:
            self._answer.end()
        self._on_closed(self)
        if self._exchange is not None and self._answer is not None:
            self._finish(self._answer)

    def _finish(self, answer: answer_assembler.AnswerAssembler) -> None:
        exchange = self._exchange
        self._exchange = None
        reset = self._lost
        whole = answer.status is not None
        if whole and answer.reusable and not self._lost:
            self._on_idle(self)
        else:
            self._close()
        if exchange is not None:
            self._on_result(_result(exchange, answer, reset=reset))

    def _close(self) -> None:
        if not self._lost:
            self._lost = True
            self.transport.abortConnection()

    def _closed_by_peer(self) -> bool:
        handle = getattr(self.transport, 'getHandle', None)
        if handle is None:
            return False
        try:
            # Unsolicited bytes make the connection unusable too.
            handle().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


def _field(
    message: events.StartRequest, field_name: bytes | None
) -> bytes | None:
    for name, content in message.headers:
        if name == field_name:
            return content
    return None


def _result(
    exchange: ids.ExchangeId,
    answer: answer_assembler.AnswerAssembler,
    *,
    reset: bool,
) -> events.BackendAnswered | events.BackendFailed:
    if answer.status is None:
        return events.BackendFailed(
            exchange=exchange,
            sent=True,
            connection_refused=False,
            too_large=answer.too_large,
            reset=reset,
        )
    return events.BackendAnswered(
        exchange=exchange,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )
