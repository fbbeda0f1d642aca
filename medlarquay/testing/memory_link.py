"""One end of a control link without sockets."""

from collections.abc import Callable

__all__ = ('MemoryLink',)


class MemoryLink:
    """One end of a control link; hands frames to the simulated network.

    Parameters
    ----------
    on_send : callable
        Receives each frame sent.
    on_close : callable
        Called when this end closes the link.
    """

    def __init__(
        self,
        *,
        on_send: Callable[[bytes], None],
        on_close: Callable[[], None],
    ) -> None:
        self._on_send = on_send
        self._on_close = on_close

    def send(self, frame: bytes) -> None:
        """Send one frame."""
        self._on_send(frame)

    def close(self) -> None:
        """Close the link after what was sent."""
        self._on_close()

    def abort(self) -> None:
        """Close the link at once."""
        self._on_close()
