"""Slots usable at a time."""

__all__ = ('SlotLimit',)

# A backend server that sheds gets one slot fewer for each shed answer and one
# more after each such interval. A burst of six shed answers is over after
# 1.5 s; with an interval of a second it would reduce the slots for 6 s.
_RECOVERY_INTERVAL_S = 0.25


class SlotLimit:
    """Counts usable slots during cold start and after shed answers."""

    def __init__(self) -> None:
        self._slots = 1
        self._cold_from: float = 0
        self._warm_at: float = 0
        self._reduced = 0
        self._recover_at: float = 0

    @property
    def slots(self) -> int:
        """Slots of a warm backend server that does not shed."""
        return self._slots

    def configure(self, slots: int) -> None:
        """Set the slots of a warm backend server."""
        self._slots = max(1, slots)

    def start_cold(self, *, now: float, warm_at: float) -> None:
        """Ramp the slots up until ``warm_at``."""
        self._cold_from = now
        self._warm_at = warm_at
        self._reduced = 0

    def reduce(self, now: float) -> None:
        """Take one slot away after a shed answer."""
        self._recover(now)
        if not self._reduced:
            self._recover_at = now + _RECOVERY_INTERVAL_S
        self._reduced = min(self._reduced + 1, self._slots - 1)

    def cold(self, now: float) -> bool:
        """Return whether the backend server is in its cold start."""
        return now < self._warm_at

    def usable(self, now: float) -> int:
        """Return the slots usable now, at least one."""
        if self._reduced:
            self._recover(now)
        ramped = self._slots
        if now < self._warm_at:
            elapsed = now - self._cold_from
            ramped = int(ramped * elapsed / (self._warm_at - self._cold_from))
        return max(1, ramped - self._reduced)

    def restricted(self, now: float) -> bool:
        """Return whether slots will be added as time passes."""
        return self.usable(now) < self._slots

    def _recover(self, now: float) -> None:
        while self._reduced and self._recover_at <= now:
            self._reduced -= 1
            self._recover_at += _RECOVERY_INTERVAL_S
