"""Record of the way of an answer from its ingress to the kernel."""

import dataclasses
from collections.abc import Callable

import logbook

from medlarquay import telemetry, transport

__all__ = ('CallerDelivery',)

_LOG = logbook.Logger('callers')
_MS_PER_SECOND = 1000
# An answer that left sooner is counted, but gets no line.
_LOGGED_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDelivery:
    """Record of the way of an answer from its ingress to the kernel.

    Attributes
    ----------
    request_id : str
        Id of the request; empty if it has none.
    sent_at : float
        Time at which the answer was given to the caller's connection,
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

    def finish(self, left: transport.SendReport) -> None:
        """Measure an answer that left; log one that was late or lost."""
        elapsed = self.clock() - self.sent_at
        if left.sent:
            self.histograms.caller_answer_left.observe(elapsed)
        late = elapsed >= _LOGGED_S
        if self.request_id and (late or not left.sent):
            _LOG.info(
                telemetry.format_fields(
                    request=self.request_id,
                    delivery='left' if left.sent else 'lost',
                    bytes=left.frame_bytes,
                    ahead_bytes=left.ahead_bytes,
                    kernel_bytes=left.kernel_bytes,
                    delivery_ms=int(elapsed * _MS_PER_SECOND),
                ),
            )
