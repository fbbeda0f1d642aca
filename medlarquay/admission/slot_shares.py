"""Recent use of slots by rank."""

import math

from medlarquay import states

__all__ = ('SlotShares',)

# Long enough to span several requests of a few seconds, short enough that a
# rank gets its floor back within seconds of an overload.
_TIME_CONSTANT_S = 5


class SlotShares:
    """Decayed mean number of slots that each rank holds."""

    def __init__(self) -> None:
        self._held = dict.fromkeys(states.Rank, float(0))
        self._running = dict.fromkeys(states.Rank, 0)
        self._updated_at: float = 0

    def held(self, rank: states.Rank) -> float:
        """Return the decayed mean number of slots of a rank."""
        return self._held[rank]

    def running(self, rank: states.Rank) -> int:
        """Return the number of slots that a rank holds now."""
        return self._running[rank]

    def change(self, rank: states.Rank, amount: int) -> None:
        """Count a start or an end; the time is advanced before."""
        self._running[rank] += amount

    def advance(self, now: float) -> None:
        """Account the time since the last change."""
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        kept = math.exp(-elapsed / _TIME_CONSTANT_S)
        for rank, running in self._running.items():
            self._held[rank] = self._held[rank] * kept + running * (1 - kept)
