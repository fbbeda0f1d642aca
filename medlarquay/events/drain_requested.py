"""Finish the work and stop."""

import dataclasses
import math

__all__ = ('DrainRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequested:
    """Finish the work and stop.

    Attributes
    ----------
    refuse_at : float
        Until when requests of callers are still routed to other owners,
        seconds on the monotonic clock: callers learn with a delay that this
        node stops.
    answer_by : float
        When requests that are still open are answered all the same, on the
        same clock: the process ends soon after that.
    """

    refuse_at: float = 0
    answer_by: float = math.inf
