"""Reports of health and load that lag behind the truth."""

import collections

__all__ = ('ReportHistory',)

_CAPACITY = 10000


class ReportHistory:
    """Remembers reports and returns the one of some time ago."""

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, str, int]] = (
            collections.deque(maxlen=_CAPACITY)
        )

    def add(self, *, now: float, health: str, load: int) -> None:
        """Remember what is true now."""
        self._reports.append((now, health, load))

    def at(self, moment: float) -> tuple[str, int]:
        """Return health and load at a moment."""
        for reported_at, health, load in reversed(self._reports):
            if reported_at <= moment:
                return health, load
        return 'up', 0
