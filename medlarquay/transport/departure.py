"""A frame whose departure from the node is awaited."""

import dataclasses
from collections.abc import Callable

from medlarquay.transport import frame_left

__all__ = ('Departure',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """A frame whose departure from the node is awaited.

    Attributes
    ----------
    frame_bytes : int
        Length of the frame.
    ahead_bytes : int
        Bytes that waited on the link when it was sent.
    report : callable
        Receives ``FrameLeft`` once.
    """

    frame_bytes: int
    ahead_bytes: int
    report: Callable[[frame_left.FrameLeft], None]

    def finish(self, kernel_bytes: int | None) -> None:
        """Report that the kernel took the last byte."""
        self._report(kernel_bytes, whole=True)

    def lose(self) -> None:
        """Report that the link was lost before."""
        self._report(None, whole=False)

    def _report(self, kernel_bytes: int | None, *, whole: bool) -> None:
        self.report(
            frame_left.FrameLeft(
                frame_bytes=self.frame_bytes,
                ahead_bytes=self.ahead_bytes,
                kernel_bytes=kernel_bytes,
                whole=whole,
            ),
        )
