"""Connection with a bounded socket buffer that its peer drains."""

from twisted.internet import abstract

__all__ = ('FillingConnection',)


class FillingConnection(abstract.FileDescriptor):
    """Connection with a bounded socket buffer that its peer drains.

    Parameters
    ----------
    socket_bytes : int
        Capacity of the socket buffer in bytes.
    """

    def __init__(self, *, socket_bytes: int) -> None:
        super().__init__(reactor=None)
        self.connected = 1
        self._socket_bytes = socket_bytes
        self._buffer = b''
        self._writing = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802, FBT001
        """Accept and ignore the option."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close without sending the remaining bytes."""
        self.disconnecting = 1

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Accept as many bytes as fit into the socket buffer."""
        accepted = bytes(data[: self._socket_bytes - len(self._buffer)])
        self._buffer += accepted
        return len(accepted)

    def startWriting(self) -> None:  # noqa: N802
        """Wait for room in the socket buffer."""
        self._writing = True

    def stopWriting(self) -> None:  # noqa: N802
        """Stop waiting for room in the socket buffer."""
        self._writing = False

    def startReading(self) -> None:  # noqa: N802
        """Do nothing: reading is not simulated."""

    def stopReading(self) -> None:  # noqa: N802
        """Do nothing: reading is not simulated."""

    def read(self, max_bytes: int) -> bytes:
        """Return bytes that the peer reads, and resume pending writes."""
        content = self._buffer[:max_bytes]
        self._buffer = self._buffer[max_bytes:]
        if self._writing and content:
            self.doWrite()
        return content
