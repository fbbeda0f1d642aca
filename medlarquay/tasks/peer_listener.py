"""Listener for links from other nodes."""

from collections.abc import Mapping

from twisted.internet import interfaces

from medlarquay import transport
from medlarquay.tasks import link_acceptor

__all__ = ('PeerListener',)


class PeerListener:
    """Accepts links and passes each to the task registered for its path.

    Parameters
    ----------
    acceptors : mapping of str to LinkAcceptor
        Tasks by the path of the handshake. Links with any other path are
        closed.
    """

    def __init__(
        self,
        *,
        acceptors: Mapping[str, link_acceptor.LinkAcceptor],
    ) -> None:
        self._acceptors = acceptors

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Listen for other nodes on one address."""
        factory = transport.BuildingFactory(build=self._build)
        return reactor.listenTCP(port, factory, interface=host, backlog=512)

    def _build(self) -> transport.Link:
        return transport.Link.accepting(
            opened=self._open,
            received=self._receive,
            closed=self._close,
        )

    def _open(self, link: transport.Link) -> None:
        acceptor = self._acceptors.get(link.path)
        if acceptor is None:
            link.abort()
        else:
            acceptor.accept(link)

    def _receive(self, link: transport.Link, frame: bytes) -> None:
        acceptor = self._acceptors.get(link.path)
        if acceptor is not None:
            acceptor.receive_frame(link, frame)

    def _close(self, link: transport.Link) -> None:
        acceptor = self._acceptors.get(link.path)
        if acceptor is not None:
            acceptor.remove_incoming(link)
