"""Acceptance of links from other nodes."""

from twisted.internet import interfaces

from medlarquay import transport
from medlarquay.tasks import peer_links

__all__ = ('PeerListener',)


class PeerListener:
    """Accepts links and gives each to the task its path names.

    Parameters
    ----------
    calls : PeerLinks
        Takes the links with path ``/calls``.
    """

    def __init__(self, *, calls: peer_links.PeerLinks) -> None:
        self._calls = calls

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Accept other nodes on one address."""
        factory = transport.BuildingFactory(build=self._build)
        return reactor.listenTCP(port, factory, interface=host, backlog=512)

    def _build(self) -> transport.Link:
        return transport.Link.accepting(
            opened=self._calls.accept,
            received=self._calls.receive_frame,
            closed=self._calls.close_incoming,
        )
