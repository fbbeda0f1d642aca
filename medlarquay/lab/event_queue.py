"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ('EventQueue',)


class EventQueue:
    """Calls functions in order of simulated time."""

    def __init__(self) -> None:
        self.now: float = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def add(self, when: float, action: Callable[[], None]) -> None:
        """Call a function at a time, in seconds from the start."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> None:
        """Call all functions, those added meanwhile included."""
        while self._events:
            when, _, action = heapq.heappop(self._events)
            self.now = when
            action()
