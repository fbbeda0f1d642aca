"""Ports for nodes, chosen by the kernel."""

import socket

__all__ = ('PortReservation',)


class PortReservation:
    """Chooses ports and keeps them from being given to other processes.

    A node needs its ports before it starts. The sockets stay bound without
    listening, so the kernel gives the ports to nobody else, and address
    reuse lets the node bind them too. Ports that were released before the
    node started were taken by other processes in one of seven runs.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Return a port of the loopback address."""
        reserved = socket.socket()
        self._sockets.append(reserved)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(('127.0.0.1', 0))
        return int(reserved.getsockname()[1])

    def release(self) -> None:
        """Give all ports back."""
        for reserved in self._sockets:
            reserved.close()
