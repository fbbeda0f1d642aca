"""What this ingress observed of one backend server."""

import dataclasses

from medlarquay import messages

__all__ = ('Observation',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Observation:
    """What this ingress observed of one backend server.

    Attributes
    ----------
    in_flight : int
        Calls sent by this ingress and not finished.
    latency : float or None
        Smoothed time of an answer in seconds, waiting and link included;
        None before the first answer.
    load : LoadState or None
        Load that the owner last reported.
    load_at : float
        When the load was reported, seconds on the monotonic clock.
    in_flight_at_load : int
        Calls of this ingress that the report already counts.
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last answer.
    ejected_until : float
        End of the ejection, seconds on the monotonic clock.
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
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0
    full_until: float = 0
    draining_until: float = 0
