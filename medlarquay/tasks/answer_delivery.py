"""Delivery time of a result from its owner to the kernel."""

import dataclasses
from collections.abc import Callable

import logbook

from medlarquay import ids, telemetry, transport

__all__ = ('AnswerDelivery',)

_LOG = logbook.Logger('links')
_MS_PER_SECOND = 1000
# Smaller results with a faster delivery are counted, but not logged.
_LOGGED_BYTES = 32768
_LOGGED_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerDelivery:
    """Delivery of a result from its owner to the kernel.

    Measures the time that the result waits in the link to its ingress.

    Attributes
    ----------
    request_id : str
        Id of the request; empty if it has none.
    ingress : InstanceId
        Node that the result is sent to; empty if it sent no greeting.
    sent_at : float
        Time at which the owner passed the result to its link, seconds on the
        monotonic clock.
    clock : callable
        Returns seconds on the monotonic clock.
    histograms : Histograms
        Histograms of the node.
    """

    request_id: str
    ingress: ids.InstanceId
    sent_at: float
    clock: Callable[[], float]
    histograms: telemetry.Histograms

    def finish(self, report: transport.SendReport) -> None:
        """Observe the delivery time; log a large, late or lost result.

        Parameters
        ----------
        report : SendReport
            Result of sending the frame.
        """
        elapsed = self.clock() - self.sent_at
        self.histograms.link_ahead.observe(report.ahead_bytes)
        if report.sent:
            self.histograms.answer_left.observe(elapsed)
            large = report.frame_bytes > _LOGGED_BYTES
            if not large and elapsed < _LOGGED_S:
                return
        if self.request_id:
            self._log(report, elapsed)

    def _log(self, report: transport.SendReport, elapsed: float) -> None:
        _LOG.info(
            telemetry.format_fields(
                request=self.request_id,
                delivery='left' if report.sent else 'lost',
                ingress=self.ingress or None,
                bytes=report.frame_bytes,
                ahead_bytes=report.ahead_bytes,
                kernel_bytes=report.kernel_bytes,
                delivery_ms=int(elapsed * _MS_PER_SECOND),
            ),
        )
