"""HTTP server of the stand-ins."""

import abc
import functools

from twisted.internet import interfaces

from medlarquay import events, ids, transport

__all__ = ('RequestServer',)


class RequestServer(abc.ABC):
    """Accepts connections and gives each whole request to ``serve``.

    Parameters
    ----------
    reactor : IReactorTime
        Clock and timer for the deadlines of slow senders.
    """

    def __init__(self, *, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor
        self._connections: dict[ids.CallerId, transport.CallerConnection] = {}
        self._last = 0

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int = 0,
    ) -> interfaces.IListeningPort:
        """Accept requests; the kernel chooses the port if it is 0."""
        factory = transport.BuildingFactory(build=self._build)
        return reactor.listenTCP(port, factory, interface=host)

    @abc.abstractmethod
    def serve(self, message: events.RequestReceived) -> None:
        """Answer one request, now or later."""

    def close(self, caller: ids.CallerId) -> None:
        """Forget a connection."""
        self._connections.pop(caller, None)

    def answer(self, message: events.AnswerReady) -> None:
        """Write an answer if the connection is still open."""
        connection = self._connections.get(message.caller)
        if connection is not None:
            connection.answer(message)

    def _build(self) -> transport.CallerConnection:
        self._last += 1
        caller = ids.CallerId(self._last)
        connection = transport.CallerConnection(
            caller=caller,
            deliver=lambda message: _take(message, self),
            reactor=self._reactor,
        )
        self._connections[caller] = connection
        return connection


@functools.singledispatch
def _take(message: object, server: RequestServer) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_take.register
def _asked(message: events.RequestReceived, server: RequestServer) -> None:
    server.serve(message)


@_take.register
def _gone(message: events.CallerGone, server: RequestServer) -> None:
    server.close(message.caller)
