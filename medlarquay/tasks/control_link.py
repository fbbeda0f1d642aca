"""Interface of an open control link."""

from typing import Protocol

__all__ = ('ControlLink',)


class ControlLink(Protocol):
    """Interface of an open control link.

    Implemented by ``transport.Link``; tests connect tasks without sockets.
    """

    def send(self, frame: bytes) -> None:
        """Send one frame, in order after the previous ones."""

    def close(self) -> None:
        """Close the link after the frames already sent."""

    def abort(self) -> None:
        """Close the link at once; frames not yet written may be lost."""
