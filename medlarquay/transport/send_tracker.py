"""Tracking of written frames until the kernel has accepted them."""

import collections
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay.transport import pending_send, send_buffer, send_report

__all__ = ('SendTracker',)

_OnSent = Callable[[send_report.SendReport], None]


class SendTracker:
    """Tracks written frames until the kernel has accepted their last byte.

    Notes
    -----
    The buffer of a connection is sent in order. A frame has been sent once
    the total of bytes accepted by the kernel reaches the total of bytes
    written up to the end of that frame.
    """

    def __init__(self) -> None:
        self._written_bytes = 0
        self._pending: collections.deque[
            tuple[int, pending_send.PendingSend]
        ] = collections.deque()

    def __bool__(self) -> bool:
        """Tell whether frames are still waiting to be sent."""
        return bool(self._pending)

    def begin(
        self,
        frame: bytes,
        on_sent: _OnSent | None,
        transport: interfaces.ITransport,
    ) -> pending_send.PendingSend | None:
        """Record how many bytes are buffered ahead of a frame to be written.

        Parameters
        ----------
        frame : bytes
            Frame to be written.
        on_sent : callable or None
            Receives ``SendReport``; None if no report is wanted.
        transport : ITransport
            Connection.

        Returns
        -------
        PendingSend or None
            To be passed to ``note_written``; None without ``on_sent``.
        """
        if on_sent is None:
            return None
        return pending_send.PendingSend(
            frame_bytes=len(frame),
            ahead_bytes=send_buffer.waiting_bytes(transport),
            on_sent=on_sent,
        )

    def count_written(self, length: int) -> None:
        """Count bytes written to the connection."""
        self._written_bytes += length

    def note_written(
        self,
        pending: pending_send.PendingSend | None,
        transport: interfaces.ITransport,
    ) -> None:
        """Report a frame just written as sent, or keep it until it is sent."""
        if pending is None:
            return
        if send_buffer.waiting_bytes(transport):
            self._pending.append((self._written_bytes, pending))
        else:
            pending.report_sent(None)

    def report_sent(self, transport: interfaces.ITransport) -> None:
        """Report the frames that the kernel accepted since the last call."""
        sent_bytes = self._written_bytes - send_buffer.waiting_bytes(transport)
        while self._pending and self._pending[0][0] <= sent_bytes:
            pending = self._pending.popleft()[1]
            pending.report_sent(send_buffer.kernel_bytes(transport))

    def report_lost(self) -> None:
        """Report all unsent frames as lost with the connection."""
        lost = [pending for _, pending in self._pending]
        self._pending.clear()
        for pending in lost:
            pending.report_lost()
