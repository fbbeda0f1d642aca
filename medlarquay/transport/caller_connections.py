"""Connections that callers opened to one listening address."""

import functools
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, ids
from medlarquay.transport import caller_connection, factories, send_report

__all__ = ('CallerConnections',)

_BACKLOG = 512
# Iterations of the reactor: one to accept a connection from the backlog, and one
# to read the request that was sent on it. A timer that is set while a signal is
# handled runs before the sockets of that iteration, so one is added.
_READ_TURNS = 3
_ACCEPT_TURNS = 2


class CallerConnections:
    """Numbers the connections of one listening address and routes answers.

    Parameters
    ----------
    deliver : callable
        Receives ``RequestReceived``, ``RequestRejected`` and ``CallerGone``.
    reactor : IReactorTime
        Clock and timers of the receive deadlines.
    running_clock : callable, optional
        Clock in seconds that excludes pauses of the process; measures how long
        a sender takes. Defaults to the clock of the reactor.
    """

    def __init__(
        self,
        *,
        deliver: Callable[[object], None],
        reactor: interfaces.IReactorTime,
        running_clock: Callable[[], float] | None = None,
    ) -> None:
        self._deliver = deliver
        self._reactor = reactor
        self._running_clock = running_clock or reactor.seconds
        self._connections: dict[
            ids.CallerId, caller_connection.CallerConnection
        ] = {}
        self._last_number = 0
        # Connections that must close before ``_on_closed`` is called.
        self._closing: set[ids.CallerId] = set()
        self._on_closed: Callable[[], None] | None = None
        self._port: interfaces.IListeningPort | None = None

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Accept connections on one address.

        The kernel chooses the port if ``port`` is 0.
        """
        factory = factories.BuildingFactory(build=self._build)
        self._port = reactor.listenTCP(
            port,
            factory,
            interface=host,
            backlog=_BACKLOG,
        )
        return self._port

    def answer(
        self,
        message: events.AnswerReady,
        *,
        on_sent: Callable[[send_report.SendReport], None] | None = None,
    ) -> None:
        """Write an answer if the connection is still open.

        Parameters
        ----------
        message : AnswerReady
            Answer; dropped if its connection is gone.
        on_sent : callable, optional
            Receives ``SendReport`` once the kernel has accepted the last
            byte, possibly within this call, or the connection was lost
            before.
        """
        connection = self._connections.get(message.caller)
        if connection is not None:
            connection.answer(message, on_sent=on_sent)
        elif on_sent is not None:
            on_sent(send_report.lost_send_report(len(message.body)))

    def stop_listening(self) -> None:
        """Accept the connections in the backlog, and then no more."""
        self._after_turns(_ACCEPT_TURNS, self._stop_listening)

    def close_gracefully(self, on_closed: Callable[[], None]) -> None:
        """Close each connection once its answers have been sent.

        Requests that have already arrived are read first: the reactor runs
        timers before sockets, so on a busy machine a late timer would close
        connections with unread requests.

        Parameters
        ----------
        on_closed : callable
            Called when all connections that were open then are closed.
        """
        self._after_turns(
            _READ_TURNS, functools.partial(self._close_open, on_closed)
        )

    def _after_turns(self, turns: int, action: Callable[[], None]) -> None:
        """Let the reactor handle sockets for some iterations, then act."""
        if turns:
            self._reactor.callLater(0, self._after_turns, turns - 1, action)
        else:
            action()

    def _stop_listening(self) -> None:
        if self._port is not None:
            self._port.stopListening()

    def _close_open(self, on_closed: Callable[[], None]) -> None:
        self._on_closed = on_closed
        self._closing = set(self._connections)
        for connection in tuple(self._connections.values()):
            connection.close_gracefully()
        self._report_if_closed()

    def _report_if_closed(self) -> None:
        on_closed = self._on_closed
        if on_closed is not None and not self._closing:
            self._on_closed = None
            on_closed()

    def _build(self) -> caller_connection.CallerConnection:
        self._last_number += 1
        caller = ids.CallerId(self._last_number)
        connection = caller_connection.CallerConnection(
            caller=caller,
            deliver=self._handle_message,
            reactor=self._reactor,
            running_clock=self._running_clock,
        )
        self._connections[caller] = connection
        return connection

    def _handle_message(self, message: object) -> None:
        if isinstance(message, events.CallerGone):
            self._connections.pop(message.caller, None)
            self._closing.discard(message.caller)
        self._deliver(message)
        self._report_if_closed()
