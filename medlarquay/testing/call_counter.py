"""Counter of calls at the source."""

import collections

__all__ = ('CallCounter',)


class CallCounter:
    """Counts calls for each second; a pending watch counts in each of them."""

    def __init__(self) -> None:
        self.total = 0
        self.by_second: collections.Counter[int] = collections.Counter()

    def add(self, *, now: float) -> None:
        """Count a call that arrived."""
        self.total += 1
        self.by_second[int(now)] += 1

    def add_pending(self, *, now: float, pending: int) -> None:
        """Count the watches that are still pending as a second begins."""
        self.by_second[int(now)] += pending
