"""OpenTelemetry instruments that read the counters."""

import enum
import functools
import re
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

from opentelemetry import metrics

from medlarquay import states
from medlarquay.telemetry import counters

__all__ = ('Instruments',)

_METRIC_NAMES: Mapping[type[enum.Enum], str] = MappingProxyType({
    states.RefusalReason: 'refusals',
    states.RetryReason: 'retries',
    states.RetryDenial: 'retry_denials',
})
_WORD_START = re.compile('(?<!^)(?=[A-Z])')


class Instruments:
    """One observable counter for each enumeration that is counted.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    counts : Counters
        Counters of the node.
    """

    def __init__(
        self,
        *,
        meter: metrics.Meter,
        counts: counters.Counters,
    ) -> None:
        self._meter = meter
        self._counts = counts
        self._exported: set[type[enum.Enum]] = set()
        self._create_for(_METRIC_NAMES)

    def update(self) -> None:
        """Create instruments for enumerations counted since the last call."""
        self._create_for({type(member) for member in self._counts.counts})

    def _create_for(self, enumerations: Iterable[type[enum.Enum]]) -> None:
        for enumeration in enumerations:
            if enumeration not in self._exported:
                self._exported.add(enumeration)
                self._meter.create_observable_counter(
                    f'medlarquay.{_instrument_name(enumeration)}',
                    callbacks=[functools.partial(self._observe, enumeration)],
                    description=(enumeration.__doc__ or '').partition('\n')[0],
                )

    def _observe(
        self,
        enumeration: type[enum.Enum],
        options: metrics.CallbackOptions,
    ) -> Iterator[metrics.Observation]:
        # A member that was not counted yet is exported as 0, so that the
        # first event shows as an increase.
        for member in enumeration:
            yield metrics.Observation(
                self._counts.counts.get(member, 0),
                {'reason': str(member.value)},
            )


def _instrument_name(enumeration: type[enum.Enum]) -> str:
    snake_case = _WORD_START.sub('_', enumeration.__name__).lower()
    return _METRIC_NAMES.get(enumeration, snake_case)
