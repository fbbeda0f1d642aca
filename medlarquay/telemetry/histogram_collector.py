"""Export of the histograms in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import core, registry, utils

from medlarquay.telemetry import histogram, histograms

__all__ = ('HistogramCollector',)


class HistogramCollector(registry.Collector):
    """Reads the histograms when metrics are collected.

    Parameters
    ----------
    node_histograms : Histograms
        Histograms of the node.

    Notes
    -----
    OpenTelemetry has no observable histogram (one that reads counts kept
    elsewhere), so the histograms are exported through the Prometheus
    registry directly.
    """

    def __init__(self, *, node_histograms: histograms.Histograms) -> None:
        self._node_histograms = node_histograms

    def collect(self) -> Iterator[core.Metric]:
        """Iterate over each histogram and its greatest value."""
        for node_histogram in self._node_histograms:
            yield _to_metric(node_histogram)
            yield core.GaugeMetricFamily(
                f'medlarquay_{node_histogram.name}_max',
                f'{node_histogram.summary} Greatest since the start.',
                value=node_histogram.greatest,
            )


def _to_metric(node_histogram: histogram.Histogram) -> core.Metric:
    return core.HistogramMetricFamily(
        f'medlarquay_{node_histogram.name}',
        node_histogram.summary,
        buckets=[
            (utils.floatToGoString(bound), count)
            for bound, count in node_histogram.cumulative()
        ],
        sum_value=node_histogram.total,
    )
