"""Limit on the slots in use during a cold start or after shed answers."""

__all__ = ('SlotLimit',)

# Each shed answer removes one slot, and one is added back after each interval.
# A burst of six shed answers has an effect for 1.5 s; with an interval of one
# second it would reduce the slots for 6 s.
_RECOVERY_INTERVAL_S = 0.25


class SlotLimit:
    """Limits the slots in use during a cold start and after shed answers."""

    def __init__(self) -> None:
        self._slots = 1
        self._cold_start_at: float = 0
        self._warm_at: float = 0
        self._removed = 0
        self._recover_at: float = 0

    @property
    def slots(self) -> int:
        """Number of slots of a warm backend server that does not shed."""
        return self._slots

    def configure(self, slots: int) -> None:
        """Set the number of slots of a warm backend server."""
        self._slots = max(1, slots)

    def start_cold(self, *, now: float, warm_at: float) -> None:
        """Ramp the usable slots up linearly from ``now`` until ``warm_at``."""
        self._cold_start_at = now
        self._warm_at = warm_at
        self._removed = 0

    def reduce(self, now: float) -> None:
        """Remove one slot after a shed answer."""
        self._recover(now)
        if not self._removed:
            self._recover_at = now + _RECOVERY_INTERVAL_S
        self._removed = min(self._removed + 1, self._slots - 1)

    def is_cold(self, now: float) -> bool:
        """Return whether the cold start of the backend server lasts."""
        return now < self._warm_at

    def usable(self, now: float) -> int:
        """Return the number of slots usable now, at least one."""
        if self._removed:
            self._recover(now)
        slots = self._slots
        if now < self._warm_at:
            elapsed = now - self._cold_start_at
            slots = int(slots * elapsed / (self._warm_at - self._cold_start_at))
        return max(1, slots - self._removed)

    def is_restricted(self, now: float) -> bool:
        """Return whether the number of usable slots will grow with time."""
        return self.usable(now) < self._slots

    def _recover(self, now: float) -> None:
        while self._removed and self._recover_at <= now:
            self._removed -= 1
            self._recover_at += _RECOVERY_INTERVAL_S
