"""Export of the gauges in the Prometheus text format."""

from collections.abc import Iterator
from types import MappingProxyType

from prometheus_client import core, registry

from medlarquay import states
from medlarquay.telemetry import counters

__all__ = ('GaugeCollector',)

_SUMMARIES = MappingProxyType({
    states.NodeGauge.DOCUMENTS_REJECTED: (
        'Documents whose newest version is not in force.'
    ),
})


class GaugeCollector(registry.Collector):
    """Reads the gauges when metrics are collected.

    Parameters
    ----------
    counts : Counters
        Counters of the node.
    """

    def __init__(self, *, counts: counters.Counters) -> None:
        self._counts = counts

    def collect(self) -> Iterator[core.Metric]:
        """Iterate over all gauges."""
        for gauge, number in self._counts.gauges.items():
            yield core.GaugeMetricFamily(
                f'medlarquay_{gauge.value}',
                _SUMMARIES[gauge],
                value=number,
            )
