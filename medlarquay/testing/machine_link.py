"""Simulated link of a machine, shared by all connections of a node."""

import collections

from twisted.internet import abstract, task

__all__ = ('MachineLink', 'SharedConnection')

_STEP_S = 0.001


class MachineLink:
    """Simulated link that transmits the bytes of all sockets in FIFO order.

    Parameters
    ----------
    clock : Clock
        Simulated time, which ``run`` advances.
    bytes_per_s : float
        Bandwidth of the link.
    socket_bytes : int
        Capacity of the send buffer of each connection, in bytes.
    """

    def __init__(
        self,
        *,
        clock: task.Clock,
        bytes_per_s: float,
        socket_bytes: int,
    ) -> None:
        self.socket_bytes = socket_bytes
        self.queued_bytes = 0
        self.max_queued_bytes = 0
        self.connections: list[SharedConnection] = []
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._credit_bytes: float = 0
        self._chunks: collections.deque[tuple[SharedConnection, bytes]] = (
            collections.deque()
        )

    def enqueue(self, sender: 'SharedConnection', content: bytes) -> None:
        """Queue bytes that the socket of a connection accepted."""
        self._chunks.append((sender, content))
        self.queued_bytes += len(content)
        self.max_queued_bytes = max(self.max_queued_bytes, self.queued_bytes)

    def run(self, seconds: float) -> None:
        """Advance the clock and transmit bytes at the rate of the link."""
        for _ in range(round(seconds / _STEP_S)):
            self._clock.advance(_STEP_S)
            self._credit_bytes += self._bytes_per_s * _STEP_S
            self._transmit()
            for connection in self.connections:
                connection.write_pending()
            if not self._chunks:
                self._credit_bytes = 0

    def _transmit(self) -> None:
        while self._chunks and self._credit_bytes >= 1:
            sender, content = self._chunks.popleft()
            length = min(len(content), int(self._credit_bytes))
            if length < len(content):
                self._chunks.appendleft((sender, content[length:]))
            self._credit_bytes -= length
            self.queued_bytes -= length
            sender.deliver(content[:length])


class SharedConnection(abstract.FileDescriptor):
    """Connection that sends over the link of a machine.

    Parameters
    ----------
    link : MachineLink
        Link that all connections of the machine share.
    """

    def __init__(self, *, link: MachineLink) -> None:
        super().__init__(reactor=None)
        self.connected = 1
        self.arrived: collections.deque[bytes] = collections.deque()
        self._link = link
        link.connections.append(self)
        self._unsent_bytes = 0
        self._writing = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802, FBT001
        """Accept and ignore the option."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close without sending the remaining bytes."""
        self.disconnecting = 1

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Accept as many bytes as fit into the send buffer."""
        accepted = bytes(data[: self._link.socket_bytes - self._unsent_bytes])
        if accepted:
            self._unsent_bytes += len(accepted)
            self._link.enqueue(self, accepted)
        return len(accepted)

    def startWriting(self) -> None:  # noqa: N802
        """Wait for room in the send buffer."""
        self._writing = True

    def stopWriting(self) -> None:  # noqa: N802
        """Stop waiting for room in the send buffer."""
        self._writing = False

    def startReading(self) -> None:  # noqa: N802
        """Do nothing: reading is not simulated."""

    def stopReading(self) -> None:  # noqa: N802
        """Do nothing: reading is not simulated."""

    def write_pending(self) -> None:
        """Write pending bytes, as the reactor does for a writable socket."""
        if self._writing and self._unsent_bytes < self._link.socket_bytes:
            self.doWrite()

    def deliver(self, content: bytes) -> None:
        """Deliver transmitted bytes and free their room in the buffer."""
        self._unsent_bytes -= len(content)
        self.arrived.append(content)
