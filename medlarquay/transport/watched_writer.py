"""Writing to a connection with a report of when the kernel took it."""

from collections.abc import Callable

from twisted.internet import interfaces
from zope.interface import implementer

from medlarquay.transport import (
    frame_watch,
    prompt_write,
    send_buffer,
    send_report,
)

__all__ = ('WatchedWriter',)


@implementer(interfaces.IPullProducer)
class WatchedWriter:
    """Writes to a connection and reports when the kernel took what it wrote.

    Parameters
    ----------
    transport : ITransport
        Connection.
    """

    def __init__(self, *, transport: interfaces.ITransport) -> None:
        self._transport = transport
        self._watch = frame_watch.FrameWatch()
        self._producing = False

    @property
    def waiting_bytes(self) -> int:
        """Written bytes that the kernel has not taken."""
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
            Receives ``SendReport`` once the kernel has taken the last byte,
            possibly within this call, or the connection was lost before.
        """
        leaving = self._watch.begin(content, on_sent, self._transport)
        self._watch.count(len(content))
        prompt_write.write_promptly(self._transport, content)
        self._watch.written(leaving, self._transport)
        if self._watch and not self._producing:
            # The transport tells only its producer that its buffer is empty.
            self._producing = True
            self._transport.registerProducer(self, False)  # noqa: FBT003

    def lose(self) -> None:
        """Report what did not leave; the connection is lost."""
        self._watch.lose()

    def resumeProducing(self) -> None:  # noqa: N802
        """Report what has left; called when the buffer is empty."""
        self._watch.settle(self._transport)
        if self._producing and not self._watch:
            self._producing = False
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Report what did not leave; the connection is lost."""
        self._watch.lose()
