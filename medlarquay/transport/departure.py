"""A frame whose departure from the node is awaited."""

import dataclasses
from collections.abc import Callable

from medlarquay.transport import send_report

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
        Receives ``SendReport`` once.
    """

    frame_bytes: int
    ahead_bytes: int
    report: Callable[[send_report.SendReport], None]

    def finish(self, kernel_bytes: int | None) -> None:
        """Report that the kernel took the last byte."""
        self._report(kernel_bytes, sent=True)

    def lose(self) -> None:
        """Report that the link was lost before."""
        self._report(None, sent=False)

    def _report(self, kernel_bytes: int | None, *, sent: bool) -> None:
        self.report(
            send_report.SendReport(
                frame_bytes=self.frame_bytes,
                ahead_bytes=self.ahead_bytes,
                kernel_bytes=kernel_bytes,
                sent=sent,
            ),
        )
