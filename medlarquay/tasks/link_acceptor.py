"""Interface of a task that accepts links from other nodes."""

from typing import Protocol

from medlarquay import transport

__all__ = ('LinkAcceptor',)


class LinkAcceptor(Protocol):
    """Interface of a task that accepts links from other nodes."""

    def accept(self, link: transport.Link) -> None:
        """Add a link whose handshake is complete."""

    def receive_frame(self, link: transport.Link, frame: bytes) -> None:
        """Handle a frame that was received on a link."""

    def remove_incoming(self, link: transport.Link) -> None:
        """Remove a link that was closed."""
