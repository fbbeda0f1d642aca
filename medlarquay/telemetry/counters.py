"""Counters and histograms of a node."""

import collections
import enum
from collections.abc import Mapping

from medlarquay import states
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
        self._gauges = dict.fromkeys(states.NodeGauge, 0)

    @property
    def counts(self) -> Mapping[enum.Enum, int]:
        """Counts by member."""
        return self._counts

    @property
    def gauges(self) -> Mapping[states.NodeGauge, int]:
        """Present numbers by gauge."""
        return self._gauges

    def set_gauge(self, gauge: states.NodeGauge, number: int) -> None:
        """Record a present number."""
        self._gauges[gauge] = number

    def increment(self, member: enum.Enum, *, amount: int = 1) -> None:
        """Add to the count of one member."""
        self._counts[member] += amount
