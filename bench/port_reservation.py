"""Reservation of free ports for nodes."""

import socket

__all__ = ('PortReservation',)


class PortReservation:
    """Reserves free ports of the loopback address until they are released.

    The ports of a node must be known before it starts. The sockets stay bound
    without listening, so that the kernel assigns the ports to no other
    process, and SO_REUSEADDR lets the node bind them as well. When the ports
    were released before the node started, other processes took them in one
    of seven runs.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Reserve a free port and return it."""
        reserved = socket.socket()
        self._sockets.append(reserved)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(('127.0.0.1', 0))
        return int(reserved.getsockname()[1])

    def release(self) -> None:
        """Release all ports."""
        for reserved in self._sockets:
            reserved.close()
