"""Durations of named steps of a benchmark."""

import statistics
import time
from collections.abc import Callable
from typing import TypeVar

__all__ = ('StepTimes',)

_Result = TypeVar('_Result')
_MS_PER_SECOND = 1000


class StepTimes:
    """Durations of named steps; the first run of each step does not count."""

    def __init__(self) -> None:
        self._durations: dict[str, list[float]] = {}

    def run(self, name: str, step: Callable[[], _Result]) -> _Result:
        """Run a step, record its duration and return its result."""
        started_at = time.perf_counter()
        result = step()
        self._durations.setdefault(name, []).append(
            time.perf_counter() - started_at
        )
        return result

    def print_medians(self) -> None:
        """Print the median duration of each step in milliseconds."""
        for name, durations in self._durations.items():
            median = statistics.median(durations[1:]) * _MS_PER_SECOND
            print(f'{name}_ms={median:.2f}')
