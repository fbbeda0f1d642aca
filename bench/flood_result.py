"""Result of one run of the flood benchmark."""

import dataclasses
from collections.abc import Iterable

from bench import load_runner
from medlarquay import testing

__all__ = ('FloodResult',)

_OK = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class FloodResult:
    """Result of one run of the flood benchmark.

    Attributes
    ----------
    caller_entries : list of ToldEntry
        What callers were told about the requests sent after the warm-up.
    comparison : Comparison
        What callers were told compared with what backend servers ran, for
        the whole run.
    seconds : float
        Duration of the load after the warm-up.
    deadlines_ms : dict of int
        Deadline of the requests in milliseconds by mix.
    """

    caller_entries: list[testing.ToldEntry]
    comparison: testing.Comparison
    seconds: float
    deadlines_ms: dict[str, int]

    def count_in_time(self, mixes: Iterable[str]) -> int:
        """Return how many requests of some mixes were answered in time."""
        counted_mixes = set(mixes)
        return sum(
            1
            for entry in self.caller_entries
            if entry.mix in counted_mixes and self._in_time(entry)
        )

    def goodput(self) -> float:
        """Return the requests per second that were answered in time."""
        return self.count_in_time(self.deadlines_ms) / self.seconds

    def share_in_time(self, mix: str) -> float:
        """Return the share of the requests of a mix answered in time."""
        total = sum(1 for entry in self.caller_entries if entry.mix == mix)
        return self.count_in_time([mix]) / max(1, total)

    def p99_ms(self, mix: str) -> float:
        """Return the 99th percentile of the latencies of a mix.

        Only answers with status 200 count.
        """
        return load_runner.percentile(
            [
                entry.latency_ms
                for entry in self.caller_entries
                if entry.mix == mix and entry.status == _OK
            ],
            99,
        )

    def _in_time(self, entry: testing.ToldEntry) -> bool:
        in_time = entry.latency_ms <= self.deadlines_ms[entry.mix]
        return in_time and entry.status == _OK
