"""Base of the HTTP servers among the stand-ins."""

import abc
import functools

from twisted.internet import interfaces

from medlarquay import events, ids, transport

__all__ = ('RequestServer',)


class RequestServer(abc.ABC):
    """Accepts connections and passes each complete request to ``serve``.

    Parameters
    ----------
    reactor : IReactorTime
        Clock and timer for the deadlines of slow senders.
    """

    def __init__(self, *, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor
        self._connections = transport.CallerConnections(
            deliver=lambda message: _handle(message, self),
            reactor=reactor,
        )

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int = 0,
    ) -> interfaces.IListeningPort:
        """Accept requests; the kernel chooses the port if it is 0."""
        return self._connections.listen(reactor, host=host, port=port)

    @abc.abstractmethod
    def serve(self, message: events.RequestReceived) -> None:
        """Answer one request, now or later."""

    def forget(self, caller: ids.CallerId) -> None:
        """Drop the pending work of a connection that was closed."""

    def answer(self, message: events.AnswerReady) -> None:
        """Write an answer if the connection is still open."""
        self._connections.answer(message)


@functools.singledispatch
def _handle(message: object, server: RequestServer) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _handle_request(
    message: events.RequestReceived, server: RequestServer
) -> None:
    server.serve(message)


@_handle.register
def _handle_disconnect(
    message: events.CallerGone, server: RequestServer
) -> None:
    server.forget(message.caller)
