"""HTTP/1.1 connection of a caller."""

from collections.abc import Callable

import httptools
from twisted.internet import protocol

from medlarquay import events, ids, states
from medlarquay.transport import http_limits, http_text

__all__ = ('CallerConnection',)


class CallerConnection(protocol.Protocol):
    """Parses requests and writes answers; holds no decisions.

    Parameters
    ----------
    caller : CallerId
        Number of this connection.
    deliver : callable
        Receives ``RequestReceived``, ``RequestRejected`` and ``CallerGone``.

    Notes
    -----
    One request is under way at a time. Reading pauses until its answer is
    written, so pipelined requests wait in the socket buffers.
    """

    def __init__(
        self,
        *,
        caller: ids.CallerId,
        deliver: Callable[[object], None],
    ) -> None:
        self._caller = caller
        self._deliver = deliver
        self._parser = httptools.HttpRequestParser(self)
        self._pending = b''
        self._waiting = False
        self._rejected: states.RefusalReason | None = None
        self._keep_alive = True
        self._reset()

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm: answers are written whole."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser."""
        if self._waiting:
            self._pending += data
            return
        self._feed(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report the loss of the connection."""
        self._deliver(events.CallerGone(caller=self._caller))

    def answer(self, message: events.AnswerReady) -> None:
        """Write an answer and go on with the next request."""
        close = message.close or not self._keep_alive
        self.transport.write(
            http_text.format_answer(
                status=message.status,
                headers=message.headers,
                body=message.body,
                close=close,
            ),
        )
        self._waiting = False
        if close:
            self.transport.loseConnection()
            return
        self.transport.resumeProducing()
        pending = self._pending
        self._pending = b''
        if pending:
            self._feed(pending)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._count_header(len(url))
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        self._count_header(len(name) + len(value))
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Collect part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > http_limits.MAX_BODY_BYTES:
            self._rejected = states.RefusalReason.BODY_TOO_LARGE
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the whole request."""
        self._keep_alive = self._parser.should_keep_alive()
        self._waiting = True
        request = events.RequestReceived(
            caller=self._caller,
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=b''.join(self._body),
        )
        self._reset()
        if self._rejected is None:
            self._deliver(request)

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._rejected = states.RefusalReason.MALFORMED
        except httptools.HttpParserError:
            self._rejected = self._rejected or states.RefusalReason.MALFORMED
        if self._rejected is not None:
            self._reject(self._rejected)

    def _reject(self, reason: states.RefusalReason) -> None:
        self._waiting = True
        self._keep_alive = False
        self.transport.pauseProducing()
        self._deliver(
            events.RequestRejected(caller=self._caller, reason=reason),
        )

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > http_limits.MAX_HEADER_BYTES:
            self._rejected = states.RefusalReason.HEADER_TOO_LARGE

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
