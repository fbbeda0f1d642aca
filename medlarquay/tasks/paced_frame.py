"""A frame that was given to the uplink."""

import dataclasses
from collections.abc import Callable

from medlarquay import transport

__all__ = ('PacedFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PacedFrame:
    """A frame that was given to the uplink.

    Attributes
    ----------
    frame_bytes : int
        Length of the frame.
    ahead_bytes : int
        Length of the large frames of all links that waited then.
    report : callable or None
        Receives ``SendReport`` once.
    """

    frame_bytes: int
    ahead_bytes: int
    report: Callable[[transport.SendReport], None] | None

    def finish(self, last: transport.SendReport) -> None:
        """Report that the last fragment has left, or was lost."""
        self._report(last.kernel_bytes, whole=last.sent)

    def lose(self) -> None:
        """Report that the frame was dropped, or lost with its link."""
        self._report(None, whole=False)

    def _report(self, kernel_bytes: int | None, *, whole: bool) -> None:
        if self.report is not None:
            self.report(
                transport.SendReport(
                    frame_bytes=self.frame_bytes,
                    ahead_bytes=self.ahead_bytes,
                    kernel_bytes=kernel_bytes,
                    sent=whole,
                ),
            )
