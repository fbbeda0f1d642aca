"""History of health and load, for lagging reports."""

import collections

__all__ = ('ReportHistory',)

_CAPACITY = 10000


class ReportHistory:
    """Bounded history of health and load by time."""

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, str, int]] = (
            collections.deque(maxlen=_CAPACITY)
        )

    def add(self, *, now: float, health: str, load: int) -> None:
        """Record the health and load at a time."""
        self._reports.append((now, health, load))

    def at(self, moment: float) -> tuple[str, int]:
        """Return health and load at a time; up and 0 before the first."""
        for reported_at, health, load in reversed(self._reports):
            if reported_at <= moment:
                return health, load
        return 'up', 0
