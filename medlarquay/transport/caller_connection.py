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
    tracked_writer,
)

__all__ = ('CallerConnection',)

# A slow sender occupies a connection and its buffers, so each part of a request
# must arrive within these times, in seconds; bytes that trickle in don't extend
# them.
_LIMITS_S = MappingProxyType({
    receive_stage.ReceiveStage.HEADER: 10.0,
    receive_stage.ReceiveStage.BODY: 30.0,
})
# After a rejection the rest of the request is read and dropped for this time:
# closing a socket with unread bytes resets the connection, and the caller may
# lose the answer with the reason.
_LINGER_S = 2.0
# Bytes of pipelined requests buffered while an answer is awaited; reading is
# paused above that.
_MAX_PENDING_BYTES = 65536
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD = b'HEAD'


class CallerConnection(protocol.Protocol):
    """Parses the requests of one caller and writes the answers.

    Parameters
    ----------
    caller : CallerId
        Number of this connection, given in all its events.
    deliver : callable
        Receives ``RequestReceived``, ``RequestRejected`` and ``CallerGone``.
    reactor : IReactorTime
        Clock and timers of the receive deadlines.
    running_clock : callable, optional
        Clock in seconds that excludes pauses of the process; measures how long
        a sender takes. Defaults to the clock of the reactor.

    Notes
    -----
    One request is in progress at a time; pipelined ones are buffered. The
    connection is still read while an answer is awaited, because only reading
    detects its loss; reading is paused once the buffer is full.
    """

    def __init__(
        self,
        *,
        caller: ids.CallerId,
        deliver: Callable[[object], None],
        reactor: interfaces.IReactorTime,
        running_clock: Callable[[], float] | None = None,
    ) -> None:
        self._caller = caller
        self._deliver = deliver
        self._reactor = reactor
        self._running_clock = running_clock or reactor.seconds
        self._assembler = request_assembler.RequestAssembler(caller=caller)
        self._pending = b''
        self._awaiting_answer = False
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
        self._writer = tracked_writer.TrackedWriter(transport=self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes, or buffer them while an answer is awaited."""
        if self._closing:
            return
        if not self._awaiting_answer:
            self._feed(data)
            return
        self._pending += data
        if len(self._pending) > _MAX_PENDING_BYTES:
            self.transport.pauseProducing()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report that the caller is gone and that unsent answers are lost."""
        self._closing = True
        self._writer.report_lost()
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
        """Write an answer and continue with the next request.

        Parameters
        ----------
        message : AnswerReady
            Answer to the request in progress; dropped if there is none.
        on_sent : callable, optional
            Receives ``SendReport`` once the kernel has accepted the last
            byte, possibly within this call, or the connection was lost
            before.
        """
        if not self._awaiting_answer or self._closing:
            # No request is in progress: the caller would read this as the
            # answer to its next request.
            if on_sent is not None:
                on_sent(send_report.lost_send_report(len(message.body)))
            return
        self._awaiting_answer = False
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
        """Close after the awaited answer, or now if there is none.

        A partly received request is refused, which proves to the caller that
        it was not run; the end of the connection would not.
        """
        if self._awaiting_answer or self._closing:
            return
        if self._assembler.stage is receive_stage.ReceiveStage.IDLE:
            self._close()
        else:
            self._assembler.reject(states.RefusalReason.DRAINING)
            self._deliver_next()

    def _feed(self, data: bytes) -> None:
        if data:
            self._assembler.feed(data)
        self._deliver_next()

    def _deliver_next(self) -> None:
        completed = self._assembler.take()
        if completed is None:
            self._expect_more()
            return
        message, keep_alive = completed
        self._keep_alive = keep_alive
        self._deadline = None
        self._awaiting_answer = True
        self._head = getattr(message, 'method', b'') == _HEAD
        self._deliver(message)

    def _expect_more(self) -> None:
        if self._assembler.take_continue():
            self.transport.write(_CONTINUE)
        stage = self._assembler.stage
        if stage is receive_stage.ReceiveStage.IDLE:
            self._deadline = None
        elif stage is not self._stage or self._deadline is None:
            self._deadline = self._running_clock() + _LIMITS_S[stage]
        self._stage = stage
        if self._deadline is not None:
            self._schedule_check(self._deadline)

    def _schedule_check(self, deadline: float) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(
                max(0, deadline - self._running_clock()),
                self._check,
            )

    def _check(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        if self._running_clock() < self._deadline:
            self._schedule_check(self._deadline)
        elif self._closing:
            self._end_linger()
        else:
            self._assembler.reject(states.RefusalReason.REQUEST_TOO_SLOW)
            self._deliver_next()

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
        self._deadline = self._running_clock() + _LINGER_S
        if self._timer is not None:
            # The running timer is set to the deadline of the request, which
            # is later.
            self._timer.cancel()
            self._timer = None
        self._schedule_check(self._deadline)

    def _end_linger(self) -> None:
        if self._writer.waiting_bytes < self._unsent:
            # A caller on a slow link is still receiving the answer.
            self._linger()
        else:
            self.transport.abortConnection()
