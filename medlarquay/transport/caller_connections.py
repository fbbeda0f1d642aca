"""Numbered connections of one listening address."""

from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, ids
from medlarquay.transport import caller_connection, factories, send_report

__all__ = ('CallerConnections',)

_BACKLOG = 512
# Turns of the reactor in which it accepts a connection that waits and then
# reads the request that was sent on it.
_READ_TURNS = 2


class CallerConnections:
    """Numbers the connections of one listening address and answers on them.

    Parameters
    ----------
    deliver : callable
        Receives ``RequestReceived``, ``RequestRejected`` and ``CallerGone``.
    reactor : IReactorTime
        Clock and timer for the deadlines of slow senders.
    running : callable, optional
        Returns seconds without the pauses of the process, which measure
        how long a sender takes; the clock of the reactor if left out.
    """

    def __init__(
        self,
        *,
        deliver: Callable[[object], None],
        reactor: interfaces.IReactorTime,
        running: Callable[[], float] | None = None,
    ) -> None:
        self._deliver = deliver
        self._reactor = reactor
        self._running = running or reactor.seconds
        self._open: dict[ids.CallerId, caller_connection.CallerConnection] = {}
        self._last = 0
        # Connections that have to be gone before the report.
        self._leaving: set[ids.CallerId] = set()
        self._report: Callable[[], None] | None = None

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Accept connections on one address; the kernel chooses port 0."""
        factory = factories.BuildingFactory(build=self._build)
        return reactor.listenTCP(
            port,
            factory,
            interface=host,
            backlog=_BACKLOG,
        )

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
            Answer.
        on_sent : callable, optional
            Receives ``SendReport`` once the kernel has taken the last byte,
            possibly within this call, or the connection was lost before.
        """
        connection = self._open.get(message.caller)
        if connection is not None:
            connection.answer(message, on_sent=on_sent)
        elif on_sent is not None:
            on_sent(send_report.lost_send_report(len(message.body)))

    def close_gracefully(self, report: Callable[[], None]) -> None:
        """Close each connection once its answers have left the buffers.

        What arrived before is read first: a timer that fires late, on a busy
        machine, comes before the requests that wait in the sockets.

        Parameters
        ----------
        report : callable
            Called when all connections that are open now are gone.
        """
        self._read_first(_READ_TURNS, report)

    def _read_first(self, turns: int, report: Callable[[], None]) -> None:
        """Let the reactor read for some turns, then close."""
        if turns:
            self._reactor.callLater(0, self._read_first, turns - 1, report)
        else:
            self._finish_open(report)

    def _finish_open(self, report: Callable[[], None]) -> None:
        self._report = report
        self._leaving = set(self._open)
        for connection in tuple(self._open.values()):
            connection.close_gracefully()
        self._report_if_gone()

    def _report_if_gone(self) -> None:
        report = self._report
        if report is not None and not self._leaving:
            self._report = None
            report()

    def _build(self) -> caller_connection.CallerConnection:
        self._last += 1
        caller = ids.CallerId(self._last)
        connection = caller_connection.CallerConnection(
            caller=caller,
            deliver=self._take,
            reactor=self._reactor,
            running=self._running,
        )
        self._open[caller] = connection
        return connection

    def _take(self, message: object) -> None:
        if isinstance(message, events.CallerGone):
            self._open.pop(message.caller, None)
            self._leaving.discard(message.caller)
        self._deliver(message)
        self._report_if_gone()
