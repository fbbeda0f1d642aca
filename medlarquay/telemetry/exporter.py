"""Export of the counters and histograms in the Prometheus text format."""

import prometheus_client
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics

from medlarquay.telemetry import (
    counters,
    gauge_collector,
    histogram_collector,
    instruments,
)

__all__ = ('Exporter',)


class Exporter:
    """Exports the counters, through OpenTelemetry, and the histograms.

    Parameters
    ----------
    counts : Counters
        Counters of the node.

    Notes
    -----
    Import this module only when metrics are requested: the OpenTelemetry SDK
    and its exporter take 2.6 MB of the 64 MB that a node may use.
    """

    content_type = prometheus_client.CONTENT_TYPE_LATEST

    def __init__(self, *, counts: counters.Counters) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(
            histogram_collector.HistogramCollector(
                node_histograms=counts.histograms
            ),
        )
        self._registry.register(gauge_collector.GaugeCollector(counts=counts))
        self._provider = metrics.MeterProvider(
            metric_readers=[
                prometheus.PrometheusMetricReader(
                    disable_target_info=True,
                    scope_info_enabled=False,
                    registry=self._registry,
                ),
            ],
            # A node never shuts the provider down: its counters end with the
            # process.
            shutdown_on_exit=False,
        )
        self._instruments = instruments.Instruments(
            meter=self._provider.get_meter('medlarquay'),
            counts=counts,
        )

    def render(self) -> bytes:
        """Return all counters and histograms in the Prometheus text format."""
        self._instruments.update()
        return prometheus_client.generate_latest(self._registry)
