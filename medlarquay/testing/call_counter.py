"""Counter of calls to the source."""

import collections

__all__ = ('CallCounter',)


class CallCounter:
    """Counts calls by second; a pending watch counts in each second."""

    def __init__(self) -> None:
        self.total = 0
        self.by_second: collections.Counter[int] = collections.Counter()

    def add(self, *, now: float) -> None:
        """Count a call at its arrival."""
        self.total += 1
        self.by_second[int(now)] += 1

    def add_pending(self, *, now: float, pending: int) -> None:
        """Count the watches still pending at the start of a second."""
        self.by_second[int(now)] += pending
