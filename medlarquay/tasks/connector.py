"""Opening of control links to other nodes."""

from typing import Protocol

from twisted.internet import endpoints, interfaces

from medlarquay import topology, transport
from medlarquay.tasks import link_callbacks

__all__ = ('CONTROL_PATH', 'Connector', 'TcpConnector')

#: Path at which a node accepts control links.
CONTROL_PATH = '/control'

_CONNECT_TIMEOUT_S = 1


class Connector(Protocol):
    """Interface that opens control links; tests open them without sockets."""

    def open(
        self,
        target: topology.Peer,
        watcher: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open a link to a peer; its events are passed to the watcher."""


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
        watcher: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open a link to a peer; its events are passed to the watcher."""
        link = transport.Link.connecting(
            path=CONTROL_PATH,
            opened=watcher.opened,
            received=lambda sender, frame: watcher.received(frame),
            closed=lambda sender: watcher.closed(),
            data_arrived=lambda sender: watcher.data_arrived(),
        )
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            target.host,
            target.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        connecting = endpoints.connectProtocol(endpoint, link)
        connecting.addErrback(lambda failure: watcher.closed())
