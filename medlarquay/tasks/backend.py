"""Task that owns the connections to the local backend server."""

import functools
from collections.abc import Callable

from twisted.internet import defer, endpoints, error, interfaces
from twisted.python import failure

from medlarquay import events, ids, states, transport
from medlarquay.tasks import backend_health, task

__all__ = ('Backend',)

_CONNECT_TIMEOUT_S = 1
# A process that exits can accept a connection and reset it at once, because its
# sockets are closed one after the other. A probe therefore succeeds only if its
# connection stays open this long.
_PROBE_HOLD_S = 0.05
_MIN_PROBE_DELAY_S = 0.1
_MAX_PROBE_DELAY_S = 1
# If the backend server still accepts, a single lost connection is taken for an
# incomplete answer; several at once mean that the process crashed and was
# replaced within milliseconds.
_MIN_CRASH_LOSSES = 2


class Backend(task.Task):
    """Owns the connections to the backend server on the machine of the node.

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
        Names of header fields that the backend server uses; by default those
        of this project.

    Notes
    -----
    When a connection with a request in flight is lost, its failure is held
    back until a probe shows whether the backend server crashed. The crash is
    then reported first, so that the request is suspected before its caller
    can retry it. Requests in flight continue when a new connection is
    refused, because a draining backend server closes its listening socket.
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
        self._held_failures: list[events.BackendFailed] = []
        self._lost_connections = 0
        self._probing = False
        self._timer: interfaces.IDelayedCall | None = None
        self._probe_delay: float = _MIN_PROBE_DELAY_S
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
            self._connected,
            self._connect_failed,
            callbackArgs=(message,),
            errbackArgs=(message,),
        )

    def probe(self) -> None:
        """Open a connection to check whether the backend server accepts."""
        if not self._probing:
            self._probing = True
            connecting = self._connect()
            connecting.addCallbacks(self._probe_connected, self._probe_failed)

    def probe_later(self) -> None:
        """Schedule a probe with exponential backoff."""
        scheduled = self._timer is not None and self._timer.active()
        if self._probing or scheduled:
            return
        self._timer = self._reactor.callLater(self._probe_delay, self.probe)
        self._probe_delay = min(2 * self._probe_delay, _MAX_PROBE_DELAY_S)

    def report_down(self) -> None:
        """Report that the backend server refuses connections."""
        self._log.warning('backend server refused a connection')
        self._report(states.BackendState.DOWN, crashed=True)

    def report_losses_while_down(self) -> None:
        """Report connections lost while the backend server is down."""
        self._report(None, crashed=True)

    def report_up(self) -> None:
        """Report that the backend server accepts connections again."""
        self._log.info('backend server accepts connections')
        self._probe_delay = _MIN_PROBE_DELAY_S
        self._report(states.BackendState.UP, crashed=True)

    def report_losses_while_up(self) -> None:
        """Report lost connections; several without a survivor are a crash."""
        # After a crash only the connection of the probe is usable.
        usable = sum(connection.usable for connection in self.idle)
        survived = bool(self.active) or usable > 1
        if self._lost_connections >= _MIN_CRASH_LOSSES and not survived:
            self._report(states.BackendState.UP, crashed=True)
        else:
            self._report(None, crashed=False)

    def _connect(self) -> defer.Deferred:
        connection = transport.BackendConnection(
            on_result=self._deliver,
            on_idle=self.idle.append,
            on_closed=self._closed,
            names=self._names,
        )
        return endpoints.connectProtocol(self._endpoint, connection)

    def _connected(
        self,
        connection: transport.BackendConnection,
        message: events.StartRequest,
    ) -> None:
        if self.opening.pop(message.exchange, None) is None:
            self.idle.append(connection)
        elif message.deadline <= self._clock():
            self.idle.append(connection)
            self._owner.post(_not_sent(message, connection_refused=False))
        else:
            self.start(connection, message)

    def _connect_failed(
        self,
        reason: failure.Failure,
        message: events.StartRequest,
    ) -> None:
        if _indicates_down(reason, busy=bool(self.active)):
            self._health.connection_refused()
        if self.opening.pop(message.exchange, None) is not None:
            self._owner.post(_not_sent(message, connection_refused=True))

    def _probe_failed(self, reason: failure.Failure) -> None:
        self._probing = False
        if _indicates_down(reason, busy=bool(self.active)):
            self._health.connection_refused()
        else:
            self._health.connection_accepted()

    def _probe_connected(
        self,
        connection: transport.BackendConnection,
        *,
        stayed_open: bool = False,
    ) -> None:
        if self._held_failures and not stayed_open:
            check_again = functools.partial(
                self._probe_connected, connection, stayed_open=True
            )
            self._reactor.callLater(_PROBE_HOLD_S, check_again)
            return
        self._probing = False
        if not connection.usable:
            # A backend server that resets each connection at once, such as one
            # with too many of them, would be probed without a wait.
            repeat = self.probe if stayed_open else self.probe_later
            repeat()
            return
        self._probe_delay = _MIN_PROBE_DELAY_S
        self.idle.append(connection)
        self._health.connection_accepted()

    def _closed(self, connection: transport.BackendConnection) -> None:
        self._lost_connections += 1

    def _deliver(
        self,
        message: events.BackendAnswered | events.BackendFailed,
    ) -> None:
        self.active.pop(message.exchange, None)
        if isinstance(message, events.BackendFailed) and message.reset:
            if not self._held_failures:
                self._lost_connections = 1
            self._held_failures.append(message)
            self._health.connection_lost()
        else:
            self._owner.post(message)

    def _report(
        self,
        state: states.BackendState | None,
        *,
        crashed: bool,
    ) -> None:
        failures = self._held_failures
        self._held_failures = []
        self._lost_connections = 0
        if failures and crashed:
            exchanges = tuple(entry.exchange for entry in failures)
            self._owner.post(events.BackendCrashed(exchanges=exchanges))
        # The state is reported before the failures, because each failure frees
        # a slot that would be given to a request while the backend server is
        # down.
        if state is not None:
            self._owner.post(events.BackendChanged(state=state))
        for entry in failures:
            self._owner.post(entry)


def _indicates_down(reason: failure.Failure, *, busy: bool) -> bool:
    # While requests are in flight, a timeout may only mean that a busy backend
    # server is slow to accept.
    refused = reason.check(error.ConnectionRefusedError) is not None
    return refused or not busy


def _not_sent(
    message: events.StartRequest,
    *,
    connection_refused: bool,
) -> events.BackendFailed:
    return events.BackendFailed(
        exchange=message.exchange,
        sent=False,
        connection_refused=connection_refused,
    )


@functools.singledispatch
def _handle(message: object, backend: Backend) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _start(message: events.StartRequest, backend: Backend) -> None:
    while backend.idle:
        connection = backend.idle.pop()
        if connection.usable:
            backend.start(connection, message)
            return
    backend.open(message)


@_handle.register
def _abort(message: events.AbortRequest, backend: Backend) -> None:
    backend.opening.pop(message.exchange, None)
    connection = backend.active.pop(message.exchange, None)
    if connection is not None:
        connection.abort()
