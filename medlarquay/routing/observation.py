"""Observation of one backend server by this ingress."""

import dataclasses
import math

from medlarquay import messages

__all__ = ('Observation',)

# Time constant of the decay of the failure rate. An avoided backend server
# yields no new results, so it is tried again after about this time.
_FAILURE_DECAY_S = 3.0
_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class Observation:
    """Observation of one backend server by this ingress.

    Attributes
    ----------
    in_flight : int
        Calls of this ingress that have not finished.
    latency : float or None
        Smoothed time to an answer in seconds, including queueing and the
        link; None before the first answer. Large answers are left out:
        they queue for the link of the machine, where other answers pass them.
    load : LoadState or None
        Latest load report of the owner.
    load_at : float
        Time of receipt of the load report, seconds on the monotonic clock.
    in_flight_at_load : int
        Calls of this ingress that the load report already includes.
    failure_rate : float
        Smoothed fraction of calls that failed, as of ``failure_rate_at``.
    failure_rate_at : float
        Time of the latest recorded result, seconds on the monotonic clock.
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last successful answer.
    ejected_until : float
        End of the ejection, seconds on the monotonic clock; 0 if none.
    silent_until : float
        Time until which its node is considered silent, seconds on the
        monotonic clock.
    full_until : float
        Time until which the backend server is considered full after a refusal
        for load, seconds on the monotonic clock.
    draining_until : float
        Time until which the backend server is considered draining, seconds on
        the monotonic clock.
    """

    in_flight: int = 0
    latency: float | None = None
    load: messages.LoadState | None = None
    load_at: float = 0
    in_flight_at_load: int = 0
    failure_rate: float = 0
    failure_rate_at: float = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    silent_until: float = 0
    full_until: float = 0
    draining_until: float = 0

    @property
    def avoided_until(self) -> float:
        """End of the ejection or the silence, whichever is later."""
        return max(self.ejected_until, self.silent_until)

    def decayed_failure_rate(self, now: float) -> float:
        """Return the failure rate; it decays while no result is recorded."""
        decay = math.exp((self.failure_rate_at - now) / _FAILURE_DECAY_S)
        return self.failure_rate * decay

    def record_result(self, now: float, *, failed: bool) -> None:
        """Record the result of a call."""
        rate = self.decayed_failure_rate(now)
        self.failure_rate = rate + _SMOOTHING * (failed - rate)
        self.failure_rate_at = now
