"""What this ingress observed of one backend server."""

import dataclasses
import math

from medlarquay import messages

__all__ = ('Observation',)

# A server that is avoided sends no news; it is tried again after about this
# time.
_FADE_S = 3.0
_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class Observation:
    """What this ingress observed of one backend server.

    Attributes
    ----------
    in_flight : int
        Calls sent by this ingress and not finished.
    latency : float or None
        Smoothed time of an answer in seconds, waiting and link included;
        None before the first answer. Large answers wait for the link of the
        machine, which others pass, and don't count.
    load : LoadState or None
        Load that the owner last reported.
    load_at : float
        When the load was reported, seconds on the monotonic clock.
    in_flight_at_load : int
        Calls of this ingress that the report already counts.
    failing : float
        Smoothed share of the calls that failed, as of ``failing_at``.
    failing_at : float
        When a call last ended, seconds on the monotonic clock.
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last answer.
    ejected_until : float
        End of the ejection, seconds on the monotonic clock.
    silent_until : float
        Time until which its node counts as silent, seconds on the monotonic
        clock.
    full_until : float
        Time until which a refusal for load counts as a lack of capacity,
        seconds on the monotonic clock.
    draining_until : float
        Time until which an announcement of draining holds, seconds on the
        monotonic clock.
    """

    in_flight: int = 0
    latency: float | None = None
    load: messages.LoadState | None = None
    load_at: float = 0
    in_flight_at_load: int = 0
    failing: float = 0
    failing_at: float = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    silent_until: float = 0
    full_until: float = 0
    draining_until: float = 0

    @property
    def avoided_until(self) -> float:
        """End of the ejection or of the silence, whichever is later."""
        return max(self.ejected_until, self.silent_until)

    def failing_share(self, now: float) -> float:
        """Return the share of calls that fail; it fades without news."""
        faded = math.exp((self.failing_at - now) / _FADE_S)
        return self.failing * faded

    def note_end(self, now: float, *, failed: bool) -> None:
        """Count the end of a call."""
        share = self.failing_share(now)
        self.failing = share + _SMOOTHING * (failed - share)
        self.failing_at = now
