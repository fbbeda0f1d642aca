"""The task that owns the connections to the local backend server."""

import functools

from twisted.internet import endpoints, interfaces

from medlarquay import events, ids, transport
from medlarquay.tasks import task

__all__ = ('Backend',)

_CONNECT_TIMEOUT_S = 1


class Backend(task.Task):
    """Owns the connections to the backend server beside the node.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    owner : Task
        Receives ``BackendAnswered`` and ``BackendFailed``.
    host, port : str, int
        Address of the backend server.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        owner: task.Task,
        host: str,
        port: int,
    ) -> None:
        super().__init__(name='backend')
        self.active: dict[ids.ExchangeId, transport.BackendConnection] = {}
        self.idle: list[transport.BackendConnection] = []
        self.opening: dict[ids.ExchangeId, events.StartRequest] = {}
        self._owner = owner
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor,
            host,
            port,
            timeout=_CONNECT_TIMEOUT_S,
        )

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def start(
        self,
        connection: transport.BackendConnection,
        message: events.StartRequest,
    ) -> None:
        """Send a request on an open connection."""
        self.active[message.exchange] = connection
        connection.start(message)

    def open(self, message: events.StartRequest) -> None:
        """Open a connection and send the request on it."""
        self.opening[message.exchange] = message
        connection = transport.BackendConnection(
            deliver=self._deliver,
            release=self.idle.append,
        )
        connecting = endpoints.connectProtocol(self._endpoint, connection)
        connecting.addCallback(self._opened, message)
        connecting.addErrback(self._refused, message)

    def _opened(
        self,
        connection: transport.BackendConnection,
        message: events.StartRequest,
    ) -> None:
        if self.opening.pop(message.exchange, None) is None:
            self.idle.append(connection)
            return
        self.start(connection, message)

    def _refused(self, failure: object, message: events.StartRequest) -> None:
        if self.opening.pop(message.exchange, None) is None:
            return
        self._owner.post(
            events.BackendFailed(
                exchange=message.exchange,
                sent=False,
                refused=True,
            ),
        )

    def _deliver(
        self,
        message: events.BackendAnswered | events.BackendFailed,
    ) -> None:
        self.active.pop(message.exchange, None)
        self._owner.post(message)


@functools.singledispatch
def _handle(message: object, owner: Backend) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _start(message: events.StartRequest, owner: Backend) -> None:
    while owner.idle:
        connection = owner.idle.pop()
        if connection.usable:
            owner.start(connection, message)
            return
    owner.open(message)


@_handle.register
def _abort(message: events.AbortRequest, owner: Backend) -> None:
    owner.opening.pop(message.exchange, None)
    connection = owner.active.pop(message.exchange, None)
    if connection is not None:
        connection.abort()
