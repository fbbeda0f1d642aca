"""What one run of the flood benchmark measured."""

import dataclasses
from collections.abc import Iterable

from bench import load_runner
from medlarquay import testing

__all__ = ('FloodResult',)

_OK = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class FloodResult:
    """What one run of the flood benchmark measured.

    Attributes
    ----------
    told : list of ToldEntry
        What callers were told about requests after the first seconds.
    comparison : Comparison
        Told against ran for the whole run.
    seconds : float
        Time that ``told`` spans.
    deadlines_ms : dict of int
        Deadline by mix.
    """

    told: list[testing.ToldEntry]
    comparison: testing.Comparison
    seconds: float
    deadlines_ms: dict[str, int]

    def good(self, mixes: Iterable[str]) -> int:
        """Requests of some mixes that were answered in time."""
        wanted = set(mixes)
        return sum(
            1
            for entry in self.told
            if entry.mix in wanted and self._in_time(entry)
        )

    def goodput(self) -> float:
        """Requests a second that were answered in time."""
        return self.good(self.deadlines_ms) / self.seconds

    def within_deadline(self, mix: str) -> float:
        """Share of the requests of a mix that were answered in time."""
        total = sum(1 for entry in self.told if entry.mix == mix)
        return self.good([mix]) / max(1, total)

    def p99_ms(self, mix: str) -> float:
        """Latency of the answered requests of a mix."""
        return load_runner.percentile(
            [
                entry.latency_ms
                for entry in self.told
                if entry.mix == mix and entry.status == _OK
            ],
            99,
        )

    def _in_time(self, entry: testing.ToldEntry) -> bool:
        in_time = entry.latency_ms <= self.deadlines_ms[entry.mix]
        return in_time and entry.status == _OK
