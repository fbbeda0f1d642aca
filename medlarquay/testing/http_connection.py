"""Server connection (HTTP/1.1) of the test doubles."""

import collections
from collections.abc import Callable

import httptools
from twisted.internet import protocol

from medlarquay.testing import http_exchange

__all__ = ('HttpConnection',)


class HttpConnection(protocol.Protocol):
    """Parses requests and serves them one at a time, in order.

    The test doubles do not use the HTTP code of the product: a fault of its
    parser or formatter could stay undetected if both ends of a test had it.

    Parameters
    ----------
    serve : callable
        Receives each ``HttpExchange``; may answer it now or later.
    """

    def __init__(
        self,
        *,
        serve: Callable[[http_exchange.HttpExchange], None],
    ) -> None:
        self._serve = serve
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[http_exchange.HttpExchange] = (
            collections.deque()
        )
        self._open = True
        self._reset()

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm: each answer is one write."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Notify the request in progress of the lost connection."""
        self._open = False
        if self._queue and self._queue[0].on_disconnect is not None:
            self._queue[0].on_disconnect()

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Collect part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Serve the request once all earlier ones are answered."""
        exchange = http_exchange.HttpExchange(
            method=self._parser.get_method().decode(),
            target=self._target.decode(),
            headers=self._headers,
            body=self._body,
            send=self._send,
            reset=self.abort,
        )
        self._reset()
        self._queue.append(exchange)
        if len(self._queue) == 1:
            self._serve(exchange)

    def _send(self, answer: bytes) -> None:
        if not self._open:
            return
        self._queue.popleft()
        self.transport.write(answer)
        if self._queue:
            self._serve(self._queue[0])

    def _reset(self) -> None:
        self._target = b''
        self._headers: dict[str, str] = {}
        self._body = b''
