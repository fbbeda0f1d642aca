"""Connection whose socket takes bytes until the other side reads."""

from twisted.internet import abstract

__all__ = ('FillingConnection',)


class FillingConnection(abstract.FileDescriptor):
    """Connection whose socket takes bytes until the other side reads.

    Parameters
    ----------
    socket_bytes : int
        What the socket takes before it is full.
    """

    def __init__(self, *, socket_bytes: int) -> None:
        super().__init__(reactor=None)
        self.connected = 1
        self._socket_bytes = socket_bytes
        self._in_socket = b''
        self._writing = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802, FBT001
        """Accept the option."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close without sending the rest."""
        self.disconnecting = 1

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Take as many bytes as the socket has room for."""
        taken = bytes(data[: self._socket_bytes - len(self._in_socket)])
        self._in_socket += taken
        return len(taken)

    def startWriting(self) -> None:  # noqa: N802
        """Wait for room in the socket."""
        self._writing = True

    def stopWriting(self) -> None:  # noqa: N802
        """Wait no more."""
        self._writing = False

    def startReading(self) -> None:  # noqa: N802
        """Read on."""

    def stopReading(self) -> None:  # noqa: N802
        """Read no more."""

    def read(self, most_bytes: int) -> bytes:
        """Return what the other side reads; let the node write again."""
        found = self._in_socket[:most_bytes]
        self._in_socket = self._in_socket[most_bytes:]
        if self._writing and found:
            self.doWrite()
        return found
