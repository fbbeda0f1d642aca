"""A histogram of fixed size."""

import bisect
from collections.abc import Iterator, Sequence

__all__ = ('Histogram',)


class Histogram:
    """Counts values in buckets.

    Parameters
    ----------
    name : str
        Name of the metric, with the unit at its end.
    summary : str
        What is measured.
    bounds : sequence of float
        Highest value of each bucket in ascending order; one more bucket
        counts the values above the last bound.

    Notes
    -----
    The size does not depend on how many values were observed. An OpenTelemetry
    ``record`` costs several microseconds, so, like the counters, plain
    numbers are kept on the call path and read when metrics are collected.
    """

    def __init__(
        self,
        *,
        name: str,
        summary: str,
        bounds: Sequence[float],
    ) -> None:
        self._name = name
        self._summary = summary
        self._bounds = tuple(bounds)
        self._counts = [0 for _ in (*self._bounds, float('inf'))]
        self._total: float = 0
        self._greatest: float = 0

    @property
    def name(self) -> str:
        """Name of the metric, with the unit at its end."""
        return self._name

    @property
    def summary(self) -> str:
        """What is measured."""
        return self._summary

    @property
    def total(self) -> float:
        """Sum of all values."""
        return self._total

    @property
    def greatest(self) -> float:
        """Greatest value since the start; 0 if there was none."""
        return self._greatest

    @property
    def count(self) -> int:
        """Number of values."""
        return sum(self._counts)

    def observe(self, observed: float) -> None:
        """Count one value."""
        self._counts[bisect.bisect_left(self._bounds, observed)] += 1
        self._total += observed
        if observed > self._greatest:
            self._greatest = observed

    def cumulative(self) -> Iterator[tuple[float, int]]:
        """Iterate over each bound and the number of values up to it."""
        cumulative_count = 0
        bounds = (*self._bounds, float('inf'))
        for bound, count in zip(bounds, self._counts, strict=True):
            cumulative_count += count
            yield bound, cumulative_count
