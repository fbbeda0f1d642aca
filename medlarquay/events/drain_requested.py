"""Finish the work and stop."""

import dataclasses

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
    """

    refuse_at: float = 0
