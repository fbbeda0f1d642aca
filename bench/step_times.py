"""Times of named steps."""

import statistics
import time
from collections.abc import Callable
from typing import TypeVar

__all__ = ('StepTimes',)

_Found = TypeVar('_Found')
_MS_PER_SECOND = 1000


class StepTimes:
    """Times of named steps; the first run of a step is not counted."""

    def __init__(self) -> None:
        self._spent: dict[str, list[float]] = {}

    def run(self, name: str, step: Callable[[], _Found]) -> _Found:
        """Run a step and keep its time."""
        begun_at = time.perf_counter()
        found = step()
        self._spent.setdefault(name, []).append(time.perf_counter() - begun_at)
        return found

    def show(self) -> None:
        """Print the median of each step in milliseconds."""
        for name, spent in self._spent.items():
            median = statistics.median(spent[1:]) * _MS_PER_SECOND
            print(f'{name}_ms={median:.2f}')
