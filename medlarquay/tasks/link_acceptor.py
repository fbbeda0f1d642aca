"""What a task provides to accept links from other nodes."""

from typing import Protocol

from medlarquay import transport

__all__ = ('LinkAcceptor',)


class LinkAcceptor(Protocol):
    """What a task provides to accept links from other nodes."""

    def accept(self, link: transport.Link) -> None:
        """Take over a link after its handshake."""

    def receive_frame(self, link: transport.Link, frame: bytes) -> None:
        """Handle a frame."""

    def remove_incoming(self, link: transport.Link) -> None:
        """Forget a link."""
