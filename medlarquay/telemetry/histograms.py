"""The histograms of a node."""

import dataclasses
import functools
from collections.abc import Iterator

from medlarquay.telemetry import histogram

__all__ = ('Histograms',)

_SECONDS_BOUNDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
)
_BYTES_BOUNDS = tuple(4**power for power in range(5, 12))


def _histogram_field(
    name: str,
    summary: str,
    bounds: tuple[float, ...] = _SECONDS_BOUNDS,
) -> histogram.Histogram:
    build = functools.partial(
        histogram.Histogram,
        name=name,
        summary=summary,
        bounds=bounds,
    )
    declared: histogram.Histogram = dataclasses.field(default_factory=build)
    return declared


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Histograms:
    """The histograms of a node.

    Attributes
    ----------
    first_byte : Histogram
        Time from the receipt of a request to its answer at the ingress.
    run : Histogram
        Time of a request at the backend server.
    answer_left : Histogram
        Time from the end of a request at its owner until the last byte of
        the result was handed to the kernel.
    caller_answer_left : Histogram
        Time from the end of a request at its ingress until the last byte of
        the answer was handed to the kernel.
    link_ahead : Histogram
        Bytes queued on a call link ahead of a result.
    loop_lag : Histogram
        Delay of a timer of the event loop beyond its due time.
    configuration_age : Histogram
        Time since the source confirmed the configuration, measured when a
        change is applied.
    configuration_apply : Histogram
        Time from the receipt of a change until it is in force.
    """

    first_byte: histogram.Histogram = _histogram_field(
        'first_byte_seconds',
        'Time from the receipt of a request to its answer at the ingress.',
    )
    run: histogram.Histogram = _histogram_field(
        'run_seconds',
        'Time of a request at the backend server.',
    )
    answer_left: histogram.Histogram = _histogram_field(
        'answer_left_seconds',
        'Time from the end of a request at its owner until its result left.',
    )
    caller_answer_left: histogram.Histogram = _histogram_field(
        'caller_answer_left_seconds',
        'Time from the end of a request at its ingress until it left.',
    )
    link_ahead: histogram.Histogram = _histogram_field(
        'link_ahead_bytes',
        'Bytes that wait on a call link before a result.',
        _BYTES_BOUNDS,
    )
    loop_lag: histogram.Histogram = _histogram_field(
        'loop_lag_seconds',
        'Lateness of a timer of the event loop.',
    )
    configuration_age: histogram.Histogram = _histogram_field(
        'configuration_age_seconds',
        'Time since the confirmation by the source when a change is applied.',
    )
    configuration_apply: histogram.Histogram = _histogram_field(
        'configuration_apply_seconds',
        'Time from the receipt of a change until it is in force.',
    )

    def __iter__(self) -> Iterator[histogram.Histogram]:
        """Iterate over all histograms."""
        for field in dataclasses.fields(self):
            yield getattr(self, field.name)
