"""Counters and histograms of a node."""

import collections
import enum
from collections.abc import Mapping

from medlarquay.telemetry import histograms

__all__ = ('Counters',)


class Counters:
    """Counts events by an enumeration member, such as a refusal reason.

    Attributes
    ----------
    histograms : Histograms
        Measured times and sizes.

    Notes
    -----
    Plain integers are counted on the call path and read by OpenTelemetry
    observable counters when they are collected, because an OpenTelemetry
    ``add`` costs several microseconds.
    """

    def __init__(self) -> None:
        self.histograms = histograms.Histograms()
        self._counts: collections.Counter[enum.Enum] = collections.Counter()

    @property
    def counts(self) -> Mapping[enum.Enum, int]:
        """Counts by member."""
        return self._counts

    def increment(self, member: enum.Enum, *, amount: int = 1) -> None:
        """Add to the count of one member."""
        self._counts[member] += amount
