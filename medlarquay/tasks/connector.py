"""Opening of control links to other nodes."""

from typing import Protocol

from twisted.internet import endpoints, interfaces

from medlarquay import topology, transport
from medlarquay.tasks import link_callbacks

__all__ = (
    'CONNECT_TIMEOUT_S',
    'CONTROL_PATH',
    'Connector',
    'TcpConnector',
)

#: Path at which a node accepts control links.
CONTROL_PATH = '/control'
#: Longest time until a control link is open, in seconds.
CONNECT_TIMEOUT_S = 1


class Connector(Protocol):
    """Interface that opens control links; tests open them without sockets."""

    def open(
        self,
        target: topology.Peer,
        callbacks: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open a link to a peer; its events go to the callbacks."""


class TcpConnector:
    """Opens control links over TCP.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens the connections.
    """

    def __init__(self, *, reactor: interfaces.IReactorTCP) -> None:
        self._reactor = reactor

    def open(
        self,
        target: topology.Peer,
        callbacks: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open a link to a peer; its events go to the callbacks."""
        link = transport.Link.connecting(
            path=CONTROL_PATH,
            opened=callbacks.opened,
            received=lambda sender, frame: callbacks.received(frame),
            closed=lambda sender: callbacks.closed(),
            data_arrived=lambda sender: callbacks.data_arrived(),
        )
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            target.host,
            target.port,
            timeout=CONNECT_TIMEOUT_S,
        )
        connecting = endpoints.connectProtocol(endpoint, link)
        connecting.addErrback(lambda failure: callbacks.closed())
