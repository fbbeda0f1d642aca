"""Frame that the kernel has not accepted in full yet."""

import dataclasses
from collections.abc import Callable

from medlarquay.transport import send_report

__all__ = ('PendingSend',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingSend:
    """Frame that the kernel has not accepted in full yet.

    Attributes
    ----------
    frame_bytes : int
        Length of the frame in bytes.
    ahead_bytes : int
        Bytes already buffered on the connection when it was written.
    on_sent : callable
        Receives ``SendReport`` once.
    """

    frame_bytes: int
    ahead_bytes: int
    on_sent: Callable[[send_report.SendReport], None]

    def report_sent(self, kernel_bytes: int | None) -> None:
        """Report that the kernel accepted the last byte."""
        self._report(kernel_bytes, sent=True)

    def report_lost(self) -> None:
        """Report that the connection was lost before that."""
        self._report(None, sent=False)

    def _report(self, kernel_bytes: int | None, *, sent: bool) -> None:
        self.on_sent(
            send_report.SendReport(
                frame_bytes=self.frame_bytes,
                ahead_bytes=self.ahead_bytes,
                kernel_bytes=kernel_bytes,
                sent=sent,
            ),
        )
