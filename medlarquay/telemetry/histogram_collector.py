"""Export of the histograms in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import core, registry, utils

from medlarquay.telemetry import histogram, histograms

__all__ = ('HistogramCollector',)


class HistogramCollector(registry.Collector):
    """Reads the histograms when metrics are collected.

    Parameters
    ----------
    measured : Histograms
        Histograms of the node.

    Notes
    -----
    OpenTelemetry has no observable histogram, which would read counts that
    were kept elsewhere, so these go to the registry of its exporter directly.
    """

    def __init__(self, *, measured: histograms.Histograms) -> None:
        self._measured = measured

    def collect(self) -> Iterator[core.Metric]:
        """Iterate over each histogram and its greatest value."""
        for found in self._measured:
            yield _buckets(found)
            yield core.GaugeMetricFamily(
                f'medlarquay_{found.name}_max',
                f'{found.summary} Greatest since the start.',
                value=found.greatest,
            )


def _buckets(found: histogram.Histogram) -> core.Metric:
    return core.HistogramMetricFamily(
        f'medlarquay_{found.name}',
        found.summary,
        buckets=[
            (utils.floatToGoString(bound), count)
            for bound, count in found.cumulative()
        ],
        sum_value=found.total,
    )
