"""Endpoint of a simulated control link."""

from collections.abc import Callable

__all__ = ('MemoryLink',)


class MemoryLink:
    """Endpoint of a control link that passes its frames to a callback.

    Parameters
    ----------
    on_send : callable
        Receives each frame sent.
    on_close : callable
        Called when this endpoint closes the link.
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
        """Close the link after all earlier frames."""
        self._on_close()

    def abort(self) -> None:
        """Close the link at once."""
        self._on_close()
