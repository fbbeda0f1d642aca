"""HTTP client of the test doubles."""

import collections
from collections.abc import Callable, Mapping

from twisted.internet import endpoints, interfaces

from medlarquay.testing import client_answer, client_connection

__all__ = ('HttpClient',)

_CONNECT_TIMEOUT_S = 1


class HttpClient:
    """Sends requests over one connection pool for each address.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections and runs timers.
    on_stray_answer : callable, optional
        Called for each answer for which no request waits.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        on_stray_answer: Callable[[], None] | None = None,
    ) -> None:
        self._on_stray_answer = on_stray_answer
        self._reactor = reactor
        self._idle: dict[str, list[client_connection.ClientConnection]] = (
            collections.defaultdict(list)
        )

    def request(
        self,
        *,
        address: str,
        head: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        deliver: Callable[[client_answer.ClientAnswer], None],
    ) -> None:
        """Send one request over an idle or a new connection.

        Parameters
        ----------
        address : str
            ``host:port`` to connect to.
        head : str
            Method and target.
        headers, body : mapping, bytes
            Header fields and body of the request.
        timeout_s : float
            Seconds until the client stops waiting for the answer.
        deliver : callable
            Called exactly once; a failure is an answer with status 0.
        """
        lines = [f'{head} HTTP/1.1']
        lines.extend(f'{name}: {value}' for name, value in headers.items())
        lines.append(f'content-length: {len(body)}\r\n\r\n')
        request = '\r\n'.join(lines).encode() + body
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.usable:
                self._start(connection, request, timeout_s, deliver)
                return
        self._connect(address, request, timeout_s, deliver)

    def _connect(
        self,
        address: str,
        request: bytes,
        timeout_s: float,
        deliver: Callable[[client_answer.ClientAnswer], None],
    ) -> None:
        host, _, port = address.partition(':')
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            timeout=_CONNECT_TIMEOUT_S,
        )
        connecting = endpoints.connectProtocol(
            endpoint,
            client_connection.ClientConnection(
                release=self._idle[address].append,
                on_stray_answer=self._on_stray_answer,
            ),
        )
        connecting.addCallbacks(
            lambda opened: self._start(opened, request, timeout_s, deliver),
            lambda failure: deliver(client_answer.ClientAnswer(sent=False)),
        )

    def _start(
        self,
        connection: client_connection.ClientConnection,
        request: bytes,
        timeout_s: float,
        deliver: Callable[[client_answer.ClientAnswer], None],
    ) -> None:
        timer = self._reactor.callLater(
            timeout_s,
            lambda: connection.abort(timed_out=True),
        )

        def finish(answer: client_answer.ClientAnswer) -> None:  # noqa: WPS430
            if timer.active():
                timer.cancel()
            deliver(answer)

        connection.start(request, finish)
