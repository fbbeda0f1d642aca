"""Machine behind the link relay, with its relayed connections."""

import socket

from twisted.internet import interfaces

from medlarquay import transport
from medlarquay.testing import (
    link_conditions,
    link_relay_end,
    pipe,
    shared_link,
)

__all__ = ('LinkRelayTarget',)

_LOOPBACK = '127.0.0.1'
_CONNECT_TIMEOUT_S = 1
# A loopback socket accepts 2.5 MB at once. With the segment and buffer sizes
# of Ethernet, the sender's socket fills up as it does on a slow link.
_SEGMENT_BYTES = 1448
_RECEIVE_BYTES = 32768


class LinkRelayTarget:
    """Relays connections to one machine over its emulated link.

    Parameters
    ----------
    reactor : IReactorSocket
        Runs the connections and timers.
    port : int
        Port of the machine on loopback.
    conditions : LinkConditions
        Initial conditions of the link.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorSocket,
        port: int,
        conditions: link_conditions.LinkConditions,
    ) -> None:
        self.link = shared_link.SharedLink(conditions=conditions)
        self._reactor = reactor
        self._port = port
        self._ends: set[link_relay_end.LinkRelayEnd] = set()

    def listen(self) -> int:
        """Listen on a free loopback port and return it."""
        factory = transport.BuildingFactory(
            build=lambda: link_relay_end.LinkRelayEnd(
                on_connected=self._accept
            ),
        )
        listening = self._reactor.listenTCP(0, factory, interface=_LOOPBACK)
        return int(listening.getHost().port)

    def reset(self) -> None:
        """Reset all relayed connections."""
        for end in tuple(self._ends):
            end.abort()

    def _accept(self, near: link_relay_end.LinkRelayEnd) -> None:
        far = link_relay_end.LinkRelayEnd()
        connection = _connect(self._port)
        if connection is None:
            near.abort()
            return
        incoming = self._create_pipe(sender=near, receiver=far, outgoing=False)
        outgoing = self._create_pipe(sender=far, receiver=near, outgoing=True)
        self._set_callbacks(near, far, incoming)
        self._set_callbacks(far, near, outgoing)
        self._ends |= {near, far}
        with connection:
            self._reactor.adoptStreamConnection(
                connection.fileno(),
                socket.AF_INET,
                transport.BuildingFactory(build=lambda: far),
            )

    def _create_pipe(
        self,
        *,
        sender: link_relay_end.LinkRelayEnd,
        receiver: link_relay_end.LinkRelayEnd,
        outgoing: bool,
    ) -> pipe.Pipe:
        new_pipe = pipe.Pipe(
            reactor=self._reactor,
            link=self.link,
            outgoing=outgoing,
            set_paused=sender.set_paused,
            write=receiver.write,
        )
        self.link.pipes.add(new_pipe)
        return new_pipe

    def _set_callbacks(
        self,
        sender: link_relay_end.LinkRelayEnd,
        receiver: link_relay_end.LinkRelayEnd,
        direction: pipe.Pipe,
    ) -> None:
        def on_data(data: bytes | None) -> None:  # noqa: WPS430
            direction.enqueue(data)
            if data is None:
                self._ends.discard(sender)

        def on_reset() -> None:  # noqa: WPS430
            self._ends.discard(sender)
            self.link.pipes.discard(direction)
            direction.close()
            receiver.abort()

        sender.on_data = on_data
        sender.on_reset = on_reset


def _connect(port: int) -> socket.socket | None:
    """Connect to a loopback port; None if the connection fails."""
    connection = socket.socket()
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    connection.settimeout(_CONNECT_TIMEOUT_S)
    try:
        connection.connect((_LOOPBACK, port))
    except OSError:
        connection.close()
        return None
    connection.setblocking(False)  # noqa: FBT003
    return connection
