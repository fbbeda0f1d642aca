"""The task that owns the connections of callers."""

import functools

from twisted.internet import interfaces

from medlarquay import events, ids, transport
from medlarquay.tasks import task

__all__ = ('CallerListener',)


class CallerListener(task.Task):
    """Owns the caller sockets and passes requests to the router.

    Parameters
    ----------
    router : Task
        Receives ``RequestReceived``, ``RequestRejected``, ``CallerGone``.
    reactor : IReactorTime
        Clock and timer for the deadlines of slow senders.
    """

    def __init__(
        self,
        *,
        router: task.Task,
        reactor: interfaces.IReactorTime,
    ) -> None:
        super().__init__(name='callers')
        self.connections: dict[ids.CallerId, transport.CallerConnection] = {}
        self._router = router
        self._reactor = reactor
        self._last = 0

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Accept callers on one address."""
        factory = transport.BuildingFactory(build=self._build)
        return reactor.listenTCP(port, factory, interface=host, backlog=512)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def _build(self) -> transport.CallerConnection:
        self._last += 1
        caller = ids.CallerId(self._last)
        connection = transport.CallerConnection(
            caller=caller,
            deliver=self._deliver,
            reactor=self._reactor,
        )
        self.connections[caller] = connection
        return connection

    def _deliver(self, message: object) -> None:
        if isinstance(message, events.CallerGone):
            self.connections.pop(message.caller, None)
        self._router.post(message)


@functools.singledispatch
def _handle(message: object, owner: CallerListener) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _answer(message: events.AnswerReady, owner: CallerListener) -> None:
    connection = owner.connections.get(message.caller)
    if connection is not None:
        connection.answer(message)


@_handle.register
def _drain(message: events.DrainRequested, owner: CallerListener) -> None:
    """Go on listening: a refusal proves not run, a closed port does not."""
