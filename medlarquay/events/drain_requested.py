"""Finish the work in progress and stop."""

import dataclasses
import math

__all__ = ('DrainRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequested:
    """Finish the work in progress and stop.

    Attributes
    ----------
    refuse_at : float
        Time from which new requests of callers are refused, seconds on the
        monotonic clock. Until then they are routed to other owners, because
        callers learn only after a delay that this node stops.
    answer_by : float
        Time at which all open requests are answered, even without a result,
        on the same clock, because the process ends soon after.
    """

    refuse_at: float = 0
    answer_by: float = math.inf
