"""The task that owns the call links to and from other nodes."""

from medlarquay.tasks import peer_links_base, peer_links_handle

__all__ = ('CALL_PATH', 'PeerLinks')

#: Path of the handshake of call links.
CALL_PATH = peer_links_base.CALL_PATH


class PeerLinks(peer_links_base.PeerLinksBase):
    """Owns the call links and matches each result to the call sent."""

    def receive(self, message: object) -> None:
        """Handle one message."""
        peer_links_handle.handle(message, self)
