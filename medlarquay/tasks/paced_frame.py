"""A large frame that was posted to the uplink for pacing."""

import dataclasses
from collections.abc import Callable

from medlarquay import transport

__all__ = ('PacedFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PacedFrame:
    """A large frame that was posted to the uplink for pacing.

    Attributes
    ----------
    frame_bytes : int
        Length of the frame.
    ahead_bytes : int
        Total length of the large frames of all links that were waiting when
        it was posted.
    on_sent : callable or None
        Receives ``SendReport`` once, when the frame was sent or lost.
    """

    frame_bytes: int
    ahead_bytes: int
    on_sent: Callable[[transport.SendReport], None] | None

    def report_last_fragment(self, report: transport.SendReport) -> None:
        """Report that the last fragment was sent, or lost with its link."""
        self._report(report.kernel_bytes, sent=report.sent)

    def report_lost(self) -> None:
        """Report that the frame was withdrawn, dropped or lost with its link."""
        self._report(None, sent=False)

    def _report(self, kernel_bytes: int | None, *, sent: bool) -> None:
        if self.on_sent is not None:
            self.on_sent(
                transport.SendReport(
                    frame_bytes=self.frame_bytes,
                    ahead_bytes=self.ahead_bytes,
                    kernel_bytes=kernel_bytes,
                    sent=sent,
                ),
            )
