"""One end of a control link without sockets."""

from collections.abc import Callable

__all__ = ('MemoryLink',)


class MemoryLink:
    """One end of a control link; hands frames to the simulated network.

    Parameters
    ----------
    sent : callable
        Receives each frame sent.
    ended : callable
        Called when this end closes the link.
    """

    def __init__(
        self,
        *,
        sent: Callable[[bytes], None],
        ended: Callable[[], None],
    ) -> None:
        self._sent = sent
        self._ended = ended

    def send(self, frame: bytes) -> None:
        """Send one frame."""
        self._sent(frame)

    def close(self) -> None:
        """Close the link after what was sent."""
        self._ended()

    def abort(self) -> None:
        """Close the link at once."""
        self._ended()
