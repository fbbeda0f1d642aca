"""What a task needs of an open control link."""

from typing import Protocol

__all__ = ('ControlLink',)


class ControlLink(Protocol):
    """What a task needs of an open control link.

    ``transport.Link`` provides it; tests connect tasks without sockets.
    """

    def send(self, frame: bytes) -> None:
        """Send one frame, after those before it."""

    def close(self) -> None:
        """Close the link after what was sent."""

    def abort(self) -> None:
        """Close the link at once."""
