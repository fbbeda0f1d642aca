"""Client connection (HTTP/1.1) of the test doubles."""

from collections.abc import Callable

import httptools
from twisted.internet import protocol

from medlarquay.testing import client_answer

__all__ = ('ClientConnection',)


class ClientConnection(protocol.Protocol):
    """Client connection that carries one request at a time.

    Parameters
    ----------
    release : callable
        Receives this connection when it can carry another request.
    on_stray_answer : callable, optional
        Called for each answer for which no request waits.
    """

    def __init__(
        self,
        *,
        release: Callable[['ClientConnection'], None],
        on_stray_answer: Callable[[], None] | None = None,
    ) -> None:
        self._release = release
        self._on_stray_answer = on_stray_answer
        self._deliver: Callable[[client_answer.ClientAnswer], None] | None = (
            None
        )
        self._open = False
        self._reset()

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle."""
        return self._open and self._deliver is None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm: each request is one write."""
        self._open = True
        self.transport.setTcpNoDelay(True)

    def start(
        self,
        request: bytes,
        deliver: Callable[[client_answer.ClientAnswer], None],
    ) -> None:
        """Send a request; its answer is passed to ``deliver`` exactly once."""
        self._reset()
        self._deliver = deliver
        self.transport.write(request)

    def abort(self, *, timed_out: bool = False) -> None:
        """Close the connection and report that there was no answer."""
        self._open = False
        self.transport.abortConnection()
        self._finish(client_answer.ClientAnswer(timed_out=timed_out))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report that the connection was lost before the answer."""
        self._open = False
        self._finish(client_answer.ClientAnswer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Collect part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Deliver the complete answer."""
        if self._deliver is None:
            self._reject_stray_answer()
            return
        answer = client_answer.ClientAnswer(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=self._body,
        )
        deliver = self._deliver
        self._deliver = None
        if self._parser.should_keep_alive():
            self._release(self)
        else:
            self._open = False
            self.transport.loseConnection()
        if deliver is not None:
            deliver(answer)

    def _reject_stray_answer(self) -> None:
        self._open = False
        self.transport.abortConnection()
        if self._on_stray_answer is not None:
            self._on_stray_answer()

    def _finish(self, answer: client_answer.ClientAnswer) -> None:
        deliver = self._deliver
        self._deliver = None
        if deliver is not None:
            deliver(answer)

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = b''
