"""HTTP/1.1 connection of a caller."""

from collections.abc import Callable
from types import MappingProxyType

from twisted.internet import interfaces, protocol

from medlarquay import events, ids, states
from medlarquay.transport import (
    http_text,
    receive_stage,
    request_assembler,
    send_report,
    watched_writer,
)

__all__ = ('CallerConnection',)

# A slow sender holds a connection and its buffers, so each request must
# arrive within these times, however steadily it trickles.
_LIMITS_S = MappingProxyType({
    receive_stage.ReceiveStage.HEADER: 10.0,
    receive_stage.ReceiveStage.BODY: 30.0,
})
# After a rejection the rest of the request is read and dropped for a while:
# closing with unread bytes resets the connection, and the caller may lose
# the answer that explains it.
_LINGER_S = 2.0
# Bytes of further requests kept while an answer is awaited.
_MAX_PENDING_BYTES = 65536
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD = b'HEAD'


class CallerConnection(protocol.Protocol):
    """Reads requests and writes answers; holds no decisions.

    Parameters
    ----------
    caller : CallerId
        Number of this connection.
    deliver : callable
        Receives ``RequestReceived``, ``RequestRejected`` and ``CallerGone``.
    reactor : IReactorTime
        Clock and timer for the deadlines of slow senders.
    running : callable, optional
        Returns seconds without the pauses of the process, which measure
        how long a sender takes; the clock of the reactor if left out.

    Notes
    -----
    One request is under way at a time; pipelined ones wait. Reading goes on
    while an answer is awaited, because the loss of the connection is seen
    by reading only, until enough bytes wait.
    """

    def __init__(
        self,
        *,
        caller: ids.CallerId,
        deliver: Callable[[object], None],
        reactor: interfaces.IReactorTime,
        running: Callable[[], float] | None = None,
    ) -> None:
        self._caller = caller
        self._deliver = deliver
        self._reactor = reactor
        self._running = running or reactor.seconds
        self._assembler = request_assembler.RequestAssembler(caller=caller)
        self._pending = b''
        self._waiting = False
        self._keep_alive = True
        self._head = False
        self._closing = False
        self._unsent = 0
        self._stage = receive_stage.ReceiveStage.IDLE
        self._deadline: float | None = None
        self._timer: interfaces.IDelayedCall | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm: answers are written whole."""
        self.transport.setTcpNoDelay(True)
        self._writer = watched_writer.WatchedWriter(transport=self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes to the parser, or keep them for later."""
        if self._closing:
            return
        if not self._waiting:
            self._feed(data)
            return
        self._pending += data
        if len(self._pending) > _MAX_PENDING_BYTES:
            self.transport.pauseProducing()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report the loss of the connection."""
        self._closing = True
        self._writer.lose()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._deliver(events.CallerGone(caller=self._caller))

    def answer(
        self,
        message: events.AnswerReady,
        *,
        on_sent: Callable[[send_report.SendReport], None] | None = None,
    ) -> None:
        """Write an answer and go on with the next request.

        Parameters
        ----------
        message : AnswerReady
            Answer.
        on_sent : callable, optional
            Receives ``SendReport`` once the kernel has taken the last byte,
            possibly within this call, or the connection was lost before.
        """
        if not self._waiting or self._closing:
            # Nothing was asked: writing would cross into a later answer.
            if on_sent is not None:
                on_sent(send_report.lost_send_report(len(message.body)))
            return
        self._waiting = False
        close = message.close or not self._keep_alive
        self._writer.write(
            http_text.format_answer(
                status=message.status,
                headers=message.headers,
                body=message.body,
                close=close,
                head=self._head,
            ),
            on_sent,
        )
        if close:
            self._close()
            return
        self.transport.resumeProducing()
        pending = self._pending
        self._pending = b''
        self._feed(pending)

    def close_gracefully(self) -> None:
        """Close after the answer under way, or now if there is none.

        A request that has not arrived whole is refused, which proves that it
        was not run; the end of the connection would not.
        """
        if self._waiting or self._closing:
            return
        if self._assembler.stage is receive_stage.ReceiveStage.IDLE:
            self._close()
        else:
            self._assembler.reject(states.RefusalReason.DRAINING)
            self._go_on()

    def _feed(self, data: bytes) -> None:
        if data:
            self._assembler.feed(data)
        self._go_on()

    def _go_on(self) -> None:
        found = self._assembler.take()
        if found is None:
            self._expect_more()
            return
        message, keep_alive = found
        self._keep_alive = keep_alive
        self._deadline = None
        self._waiting = True
        self._head = getattr(message, 'method', b'') == _HEAD
        self._deliver(message)

    def _expect_more(self) -> None:
        if self._assembler.take_continue():
            self.transport.write(_CONTINUE)
        stage = self._assembler.stage
        if stage is receive_stage.ReceiveStage.IDLE:
            self._deadline = None
        elif stage is not self._stage or self._deadline is None:
            self._deadline = self._running() + _LIMITS_S[stage]
        self._stage = stage
        if self._deadline is not None:
            self._watch(self._deadline)

    def _watch(self, deadline: float) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(
                max(0, deadline - self._running()),
                self._check,
            )

    def _check(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        if self._running() < self._deadline:
            self._watch(self._deadline)
        elif self._closing:
            self._end_linger()
        else:
            self._assembler.reject(states.RefusalReason.REQUEST_TOO_SLOW)
            self._go_on()

    def _close(self) -> None:
        self._closing = True
        if not self._assembler.failed and not self._pending:
            self.transport.loseConnection()
            return
        self._pending = b''
        self.transport.resumeProducing()
        self._linger()

    def _linger(self) -> None:
        self._unsent = self._writer.waiting_bytes
        self._deadline = self._running() + _LINGER_S
        if self._timer is not None:
            # It waits for the deadline of the request, which is later.
            self._timer.cancel()
            self._timer = None
        self._watch(self._deadline)

    def _end_linger(self) -> None:
        if self._writer.waiting_bytes < self._unsent:
            # A caller on a slow link still takes the answer.
            self._linger()
        else:
            self.transport.abortConnection()
