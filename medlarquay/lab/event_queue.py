"""Event queue of a simulation."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ('EventQueue',)


class EventQueue:
    """Calls functions in order of simulated time.

    Functions of the same time are called in the order in which they were
    added.

    Attributes
    ----------
    now : float
        Simulated time in seconds from the start.
    """

    def __init__(self) -> None:
        self.now: float = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def add(self, when: float, action: Callable[[], None]) -> None:
        """Schedule a function for a time, in seconds from the start."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> None:
        """Call all functions, including those that are added meanwhile."""
        while self._events:
            when, _, action = heapq.heappop(self._events)
            self.now = when
            action()
