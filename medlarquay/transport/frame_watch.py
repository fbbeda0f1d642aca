"""Observation of frames until the kernel has taken them."""

import collections
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay.transport import departure, send_buffer, send_report

__all__ = ('FrameWatch',)

_Observer = Callable[[send_report.SendReport], None]


class FrameWatch:
    """Observes frames until the kernel has taken their last byte.

    Notes
    -----
    The buffer of a connection is sent in order, so the position of the last
    byte of a frame among all bytes written tells when the frame has left.
    """

    def __init__(self) -> None:
        self._written = 0
        self._pending: collections.deque[tuple[int, departure.Departure]] = (
            collections.deque()
        )

    def __bool__(self) -> bool:
        """Tell whether written frames wait for the kernel."""
        return bool(self._pending)

    def begin(
        self,
        frame: bytes,
        observer: _Observer | None,
        transport: interfaces.ITransport,
    ) -> departure.Departure | None:
        """Note what waits before a frame; None if nobody observes it.

        Parameters
        ----------
        frame : bytes
            Frame.
        observer : callable or None
            Receives ``SendReport``.
        transport : ITransport
            Connection.
        """
        if observer is None:
            return None
        return departure.Departure(
            frame_bytes=len(frame),
            ahead_bytes=send_buffer.waiting_bytes(transport),
            report=observer,
        )

    def count(self, length: int) -> None:
        """Count bytes written to the connection."""
        self._written += length

    def written(
        self,
        leaving: departure.Departure | None,
        transport: interfaces.ITransport,
    ) -> None:
        """Note that the last byte of a frame was written just now."""
        if leaving is None:
            return
        if send_buffer.waiting_bytes(transport):
            self._pending.append((self._written, leaving))
        else:
            leaving.finish(None)

    def settle(self, transport: interfaces.ITransport) -> None:
        """Report the frames that the kernel has taken since."""
        left = self._written - send_buffer.waiting_bytes(transport)
        while self._pending and self._pending[0][0] <= left:
            leaving = self._pending.popleft()[1]
            leaving.finish(send_buffer.kernel_bytes(transport))

    def lose(self) -> None:
        """Report the frames that did not leave before the link was lost."""
        lost = [leaving for _, leaving in self._pending]
        self._pending.clear()
        for leaving in lost:
            leaving.lose()
