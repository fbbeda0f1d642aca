"""Writing to a connection with a report when the bytes have been sent."""

from collections.abc import Callable

from twisted.internet import interfaces
from zope.interface import implementer

from medlarquay.transport import (
    prompt_write,
    send_buffer,
    send_report,
    send_tracker,
)

__all__ = ('TrackedWriter',)


@implementer(interfaces.IPullProducer)
class TrackedWriter:
    """Writes to a connection and reports when the kernel accepted the bytes.

    Parameters
    ----------
    transport : ITransport
        Connection.
    """

    def __init__(self, *, transport: interfaces.ITransport) -> None:
        self._transport = transport
        self._tracker = send_tracker.SendTracker()
        self._producing = False

    @property
    def waiting_bytes(self) -> int:
        """Written bytes that the kernel has not accepted yet."""
        return send_buffer.waiting_bytes(self._transport)

    def write(
        self,
        content: bytes,
        on_sent: Callable[[send_report.SendReport], None] | None = None,
    ) -> None:
        """Write bytes.

        Parameters
        ----------
        content : bytes
            Bytes to write.
        on_sent : callable, optional
            Receives ``SendReport`` once the kernel has accepted the last
            byte, possibly within this call, or the connection was lost
            before.
        """
        pending = self._tracker.begin(content, on_sent, self._transport)
        self._tracker.count_written(len(content))
        prompt_write.write_promptly(self._transport, content)
        self._tracker.note_written(pending, self._transport)
        if self._tracker and not self._producing:
            # The transport notifies only its producer of an empty buffer.
            self._producing = True
            self._transport.registerProducer(self, False)  # noqa: FBT003

    def report_lost(self) -> None:
        """Report unsent frames as lost, after the connection was lost."""
        self._tracker.report_lost()

    def resumeProducing(self) -> None:  # noqa: N802
        """Report the frames sent; called when the buffer is empty."""
        self._tracker.report_sent(self._transport)
        if self._producing and not self._tracker:
            self._producing = False
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Report unsent frames as lost; called when the connection is lost."""
        self._tracker.report_lost()
