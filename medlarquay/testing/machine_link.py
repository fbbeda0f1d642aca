"""The link of one machine, shared by all connections of a node."""

import collections

from twisted.internet import abstract, task

__all__ = ('MachineLink', 'SharedConnection')

_STEP_S = 0.001


class MachineLink:
    """Carries what the sockets of a node took, first in first out.

    Parameters
    ----------
    clock : Clock
        Time; ``run`` advances it.
    bytes_per_s : float
        What the link carries.
    socket_bytes : int
        What the socket of one connection takes before it is full.
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
        self._credit: float = 0
        self._chunks: collections.deque[tuple[SharedConnection, bytes]] = (
            collections.deque()
        )

    def take(self, source: 'SharedConnection', content: bytes) -> None:
        """Queue what a socket took."""
        self._chunks.append((source, content))
        self.queued_bytes += len(content)
        self.max_queued_bytes = max(self.max_queued_bytes, self.queued_bytes)

    def run(self, seconds: float) -> None:
        """Let time pass and carry what the link carries in it."""
        for _ in range(round(seconds / _STEP_S)):
            self._clock.advance(_STEP_S)
            self._credit += self._bytes_per_s * _STEP_S
            self._carry()
            for connection in self.connections:
                connection.write_pending()
            if not self._chunks:
                self._credit = 0

    def _carry(self) -> None:
        while self._chunks and self._credit >= 1:
            source, content = self._chunks.popleft()
            length = min(len(content), int(self._credit))
            if length < len(content):
                self._chunks.appendleft((source, content[length:]))
            self._credit -= length
            self.queued_bytes -= length
            source.deliver(content[:length])


class SharedConnection(abstract.FileDescriptor):
    """Connection whose bytes leave by the link of a machine.

    Parameters
    ----------
    machine : MachineLink
        Link of the machine of the sender.
    """

    def __init__(self, *, machine: MachineLink) -> None:
        super().__init__(reactor=None)
        self.connected = 1
        self.arrived: collections.deque[bytes] = collections.deque()
        self._machine = machine
        machine.connections.append(self)
        self._in_socket = 0
        self._writing = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802, FBT001
        """Accept the option."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close without sending the rest."""
        self.disconnecting = 1

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Take as many bytes as the socket has room for."""
        taken = bytes(data[: self._machine.socket_bytes - self._in_socket])
        if taken:
            self._in_socket += len(taken)
            self._machine.take(self, taken)
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

    def write_pending(self) -> None:
        """Write what waits, as the reactor does for a writable socket."""
        if self._writing and self._in_socket < self._machine.socket_bytes:
            self.doWrite()

    def deliver(self, content: bytes) -> None:
        """Deliver bytes that left the machine."""
        self._in_socket -= len(content)
        self.arrived.append(content)
