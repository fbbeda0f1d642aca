"""The task that owns the connections to the local backend server."""

import functools
from collections.abc import Callable

from twisted.internet import defer, endpoints, error, interfaces
from twisted.python import failure

from medlarquay import events, ids, states, transport
from medlarquay.tasks import backend_health, task

__all__ = ('Backend',)

_CONNECT_TIMEOUT_S = 1
# A process that ends can accept a connection and reset it at once, because its
# sockets are closed one after the other. A probe counts if it lasts this long.
_CRASH_WINDOW_S = 0.05
_FIRST_PROBE_S = 0.1
_LONGEST_PROBE_S = 1
# One lost connection of a backend server that still accepts is a half answer;
# more at once are those of a process that was replaced within milliseconds.
_LOSSES_OF_A_CRASH = 2


class Backend(task.Task):
    """Owns the connections to the backend server beside the node.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections and schedules probes.
    owner : Task
        Receives ``BackendAnswered``, ``BackendFailed``, ``BackendCrashed``
        and ``BackendChanged``.
    host, port : str, int
        Address of the backend server.
    clock : callable
        Returns seconds on the monotonic clock.
    names : HeaderNames, optional
        Header fields of the backend server; those of the product if left
        out.

    Notes
    -----
    When a connection with a request in flight is lost, its failure is held
    back until a probe shows whether the backend server crashed, so that a
    suspect is known before its caller can send it again. Requests in flight
    go on when a new connection is refused: a backend server that drains has
    closed its listening socket.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        owner: task.Task,
        host: str,
        port: int,
        clock: Callable[[], float],
        names: transport.HeaderNames | None = None,
    ) -> None:
        super().__init__(name='backend')
        self.active: dict[ids.ExchangeId, transport.BackendConnection] = {}
        self.idle: list[transport.BackendConnection] = []
        self.opening: dict[ids.ExchangeId, events.StartRequest] = {}
        self._broken: list[events.BackendFailed] = []
        self._losses = 0
        self._probing = False
        self._timer: interfaces.IDelayedCall | None = None
        self._probe_delay: float = _FIRST_PROBE_S
        self._names = transport.HeaderNames() if names is None else names
        self._reactor = reactor
        self._owner = owner
        self._clock = clock
        self._health = backend_health.build_health(self)
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
        connecting = self._connect()
        connecting.addCallbacks(
            self._opened,
            self._refused,
            callbackArgs=(message,),
            errbackArgs=(message,),
        )

    def probe(self) -> None:
        """Open a connection to see whether the backend server accepts."""
        if not self._probing:
            self._probing = True
            connecting = self._connect()
            connecting.addCallbacks(self._probed, self._probe_failed)

    def probe_later(self) -> None:
        """Open a connection after a delay that doubles."""
        waits = self._timer is not None and self._timer.active()
        if self._probing or waits:
            return
        self._timer = self._reactor.callLater(self._probe_delay, self.probe)
        self._probe_delay = min(2 * self._probe_delay, _LONGEST_PROBE_S)

    def report_down(self) -> None:
        """Report a backend server that refuses connections."""
        self._log.warning('backend server refused a connection')
        self._report(states.BackendState.DOWN, crashed=True)

    def report_losses(self) -> None:
        """Report connections lost after the backend server went down."""
        self._report(None, crashed=True)

    def report_up(self) -> None:
        """Report a backend server that accepts connections again."""
        self._log.info('backend server accepts connections')
        self._probe_delay = _FIRST_PROBE_S
        self._report(states.BackendState.UP, crashed=True)

    def settle_losses(self) -> None:
        """Report a crash if all earlier connections were lost at once."""
        # After a crash the probing connection is the only one left.
        usable = sum(connection.usable for connection in self.idle)
        survived = bool(self.active) or usable > 1
        if self._losses >= _LOSSES_OF_A_CRASH and not survived:
            self._report(states.BackendState.UP, crashed=True)
        else:
            self._report(None, crashed=False)

    def _connect(self) -> defer.Deferred:
        connection = transport.BackendConnection(
            deliver=self._deliver,
            release=self.idle.append,
            closed=self._closed,
            names=self._names,
        )
        return endpoints.connectProtocol(self._endpoint, connection)

    def _opened(
        self,
        connection: transport.BackendConnection,
        message: events.StartRequest,
    ) -> None:
        if self.opening.pop(message.exchange, None) is None:
            self.idle.append(connection)
        elif message.deadline <= self._clock():
            self.idle.append(connection)
            self._owner.post(_unsent(message, refused=False))
        else:
            self.start(connection, message)

    def _refused(
        self,
        reason: failure.Failure,
        message: events.StartRequest,
    ) -> None:
        if _shows_down(reason, working=bool(self.active)):
            self._health.connection_refused()
        if self.opening.pop(message.exchange, None) is not None:
            self._owner.post(_unsent(message, refused=True))

    def _probe_failed(self, reason: failure.Failure) -> None:
        self._probing = False
        if _shows_down(reason, working=bool(self.active)):
            self._health.connection_refused()
        else:
            self._health.connection_accepted()

    def _probed(
        self,
        connection: transport.BackendConnection,
        *,
        lasted: bool = False,
    ) -> None:
        if self._broken and not lasted:
            again = functools.partial(self._probed, connection, lasted=True)
            self._reactor.callLater(_CRASH_WINDOW_S, again)
            return
        self._probing = False
        if not connection.usable:
            self.probe()
            return
        self.idle.append(connection)
        self._health.connection_accepted()

    def _closed(self, connection: transport.BackendConnection) -> None:
        self._losses += 1

    def _deliver(
        self,
        message: events.BackendAnswered | events.BackendFailed,
    ) -> None:
        self.active.pop(message.exchange, None)
        if isinstance(message, events.BackendFailed) and message.reset:
            if not self._broken:
                self._losses = 1
            self._broken.append(message)
            self._health.connection_lost()
        else:
            self._owner.post(message)

    def _report(
        self,
        found: states.BackendState | None,
        *,
        crashed: bool,
    ) -> None:
        broken = self._broken
        self._broken = []
        self._losses = 0
        if broken and crashed:
            exchanges = tuple(entry.exchange for entry in broken)
            self._owner.post(events.BackendCrashed(exchanges=exchanges))
        # The state is reported first, so that no freed slot is filled with
        # work for a backend server that is down.
        if found is not None:
            self._owner.post(events.BackendChanged(state=found))
        for entry in broken:
            self._owner.post(entry)


def _shows_down(reason: failure.Failure, *, working: bool) -> bool:
    # A busy backend server that still works may be slow to accept.
    refused = reason.check(error.ConnectionRefusedError) is not None
    return refused or not working


def _unsent(
    message: events.StartRequest,
    *,
    refused: bool,
) -> events.BackendFailed:
    return events.BackendFailed(
        exchange=message.exchange,
        sent=False,
        connection_refused=refused,
    )


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
