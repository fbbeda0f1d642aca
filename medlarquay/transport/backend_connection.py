"""HTTP/1.1 connection to the local backend server."""

from collections.abc import Callable

import httptools
from twisted.internet import protocol

from medlarquay import events, ids
from medlarquay.transport import http_limits, http_text

__all__ = ('BackendConnection',)

# Statuses below are interim: the answer follows.
_FIRST_FINAL_STATUS = 200


class BackendConnection(protocol.Protocol):
    """Carries one exchange at a time with the backend server.

    Parameters
    ----------
    deliver : callable
        Receives ``BackendAnswered`` and ``BackendFailed``.
    release : callable
        Receives this connection when it can carry another exchange.
    closed : callable
        Receives this connection when it has been closed by either side.
    """

    def __init__(
        self,
        *,
        deliver: Callable[
            [events.BackendAnswered | events.BackendFailed],
            None,
        ],
        release: Callable[['BackendConnection'], None],
        closed: Callable[['BackendConnection'], None],
    ) -> None:
        self._deliver = deliver
        self._release = release
        self._closed = closed
        self._exchange: ids.ExchangeId | None = None
        self._lost = False
        self._bodiless = False
        self._answered: events.BackendAnswered | None = None
        self._headers: list[tuple[bytes, bytes]]
        self._reset()

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle."""
        return self._exchange is None and not self._lost

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm: requests are written whole."""
        self.transport.setTcpNoDelay(True)

    def start(self, message: events.StartRequest) -> None:
        """Send a request."""
        self._exchange = message.exchange
        self._bodiless = message.method == b'HEAD'
        self._reset()
        self.transport.write(
            http_text.format_request(
                method=message.method,
                target=message.target,
                headers=message.headers,
                body=message.body,
            ),
        )

    def abort(self) -> None:
        """Close the connection, which cancels the exchange."""
        self._exchange = None
        self._lost = True
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser.

        Notes
        -----
        An answer is delivered after all bytes are parsed, and a connection
        with bytes beyond it is closed: they would be taken for the answer to
        the next request.
        """
        if self._exchange is None:
            self._lost = True
            self.transport.abortConnection()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._surplus = True
        if self._answered is not None:
            self._finish(self._answered)
        elif self._surplus:
            self._fail()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report a broken exchange."""
        self._lost = True
        self._closed(self)
        self._fail(reset=True)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        lowered = name.lower()
        if lowered not in http_text.HOP_BY_HOP:
            self._headers.append((lowered, value))

    def on_body(self, body: bytes) -> None:
        """Collect part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > http_limits.MAX_ANSWER_BYTES:
            self._fail(too_large=True)
            return
        self._body.append(body)

    def on_message_begin(self) -> None:
        """Note bytes that follow a whole answer."""
        self._surplus = self._answered is not None

    def on_headers_complete(self) -> None:
        """End the answer to a HEAD request, which has no body."""
        status = self._parser.get_status_code()
        if self._bodiless and status >= _FIRST_FINAL_STATUS:
            self.on_message_complete()
            # The parser waits for a body that never comes.
            self._surplus = True

    def on_message_complete(self) -> None:
        """Keep the whole answer until all received bytes are parsed."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._headers = []
        elif self._exchange is not None and self._answered is None:
            self._answered = events.BackendAnswered(
                exchange=self._exchange,
                status=status,
                headers=tuple(self._headers),
                body=b''.join(self._body),
            )
            self._surplus = not self._parser.should_keep_alive()

    def _finish(self, answered: events.BackendAnswered) -> None:
        self._exchange = None
        self._answered = None
        if self._surplus:
            self._lost = True
            self.transport.loseConnection()
        else:
            self._release(self)
        self._deliver(answered)

    def _fail(self, *, too_large: bool = False, reset: bool = False) -> None:
        exchange = self._exchange
        self._exchange = None
        if not self._lost:
            self._lost = True
            self.transport.abortConnection()
        if exchange is not None:
            self._deliver(
                events.BackendFailed(
                    exchange=exchange,
                    sent=True,
                    refused=False,
                    too_large=too_large,
                    reset=reset,
                ),
            )

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._answered = None
        self._surplus = False
