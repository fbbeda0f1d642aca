"""Recent and current use of slots by rank."""

import math

from medlarquay import states

__all__ = ('SlotUsage',)

# Spans several requests of a few seconds, yet gives a rank its floor back
# within seconds of an overload.
_TIME_CONSTANT_S = 5


class SlotUsage:
    """Exponentially decayed mean number of slots in use by each rank."""

    def __init__(self) -> None:
        self._means = dict.fromkeys(states.Rank, float(0))
        self._running = dict.fromkeys(states.Rank, 0)
        self._updated_at: float = 0

    def mean_running(self, rank: states.Rank) -> float:
        """Return the decayed mean number of slots in use by a rank."""
        return self._means[rank]

    def running(self, rank: states.Rank) -> int:
        """Return the number of slots in use by a rank now."""
        return self._running[rank]

    def change(self, rank: states.Rank, amount: int) -> None:
        """Add to the slots in use by a rank, after ``advance`` to this time."""
        self._running[rank] += amount

    def advance(self, now: float) -> None:
        """Update the means for the time since the last call."""
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        weight = math.exp(-elapsed / _TIME_CONSTANT_S)
        for rank, running in self._running.items():
            self._means[rank] = self._means[rank] * weight + running * (
                1 - weight
            )
