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

_KNOWN: Mapping[type[enum.Enum], str] = MappingProxyType({
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
        Makes the instruments.
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
        self._made: set[type[enum.Enum]] = set()
        self._make_for(_KNOWN)

    def update(self) -> None:
        """Make the instruments of enumerations first counted since."""
        self._make_for({type(member) for member in self._counts.counts})

    def _make_for(self, kinds: Iterable[type[enum.Enum]]) -> None:
        for kind in kinds:
            if kind not in self._made:
                self._made.add(kind)
                self._meter.create_observable_counter(
                    f'medlarquay.{_instrument_name(kind)}',
                    callbacks=[functools.partial(self._observe, kind)],
                    description=(kind.__doc__ or '').partition('\n')[0],
                )

    def _observe(
        self,
        kind: type[enum.Enum],
        options: metrics.CallbackOptions,
    ) -> Iterator[metrics.Observation]:
        # A member that was not counted yet is exported as 0, so that the
        # first event of a kind shows as an increase.
        for member in kind:
            yield metrics.Observation(
                self._counts.counts.get(member, 0),
                {'reason': str(member.value)},
            )


def _instrument_name(kind: type[enum.Enum]) -> str:
    spelled = _WORD_START.sub('_', kind.__name__).lower()
    return _KNOWN.get(kind, spelled)
