"""Delivery time of an answer from its ingress to the kernel."""

import dataclasses
from collections.abc import Callable

import logbook

from medlarquay import telemetry, transport

__all__ = ('CallerDelivery',)

_LOG = logbook.Logger('callers')
_MS_PER_SECOND = 1000
# Faster deliveries are counted, but not logged.
_LOGGED_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDelivery:
    """Delivery of an answer from its ingress to the kernel.

    Measures the time that the answer waits in the connection to its caller.

    Attributes
    ----------
    request_id : str
        Id of the request; empty if it has none.
    sent_at : float
        Time at which the answer was passed to the caller's connection,
        seconds on the monotonic clock.
    clock : callable
        Returns seconds on the monotonic clock.
    histograms : Histograms
        Histograms of the node.
    """

    request_id: str
    sent_at: float
    clock: Callable[[], float]
    histograms: telemetry.Histograms

    def finish(self, report: transport.SendReport) -> None:
        """Observe the delivery time; log a late or lost answer.

        Parameters
        ----------
        report : SendReport
            Result of sending the answer.
        """
        elapsed = self.clock() - self.sent_at
        if report.sent:
            self.histograms.caller_answer_left.observe(elapsed)
        late = elapsed >= _LOGGED_S
        if self.request_id and (late or not report.sent):
            _LOG.info(
                telemetry.format_fields(
                    request=self.request_id,
                    delivery='left' if report.sent else 'lost',
                    bytes=report.frame_bytes,
                    ahead_bytes=report.ahead_bytes,
                    kernel_bytes=report.kernel_bytes,
                    delivery_ms=int(elapsed * _MS_PER_SECOND),
                ),
            )
