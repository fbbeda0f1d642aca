"""Baseline policy: one FIFO queue without ranks and deadlines."""

import collections

from medlarquay import admission, ids

__all__ = ('Fifo',)


class Fifo:
    """Baseline policy of a replay: one queue without ranks and deadlines.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at once.
    """

    def __init__(self, *, slots: int) -> None:
        self._free_slots = slots
        self._queue: collections.deque[ids.ExchangeId] = collections.deque()

    def arrive(self, exchange: ids.ExchangeId) -> admission.Decisions:
        """Queue a request and start the next one if a slot is free."""
        self._queue.append(exchange)
        return self._start_next()

    def finish(self) -> admission.Decisions:
        """Free a slot and start the next request, if any."""
        self._free_slots += 1
        return self._start_next()

    def _start_next(self) -> admission.Decisions:
        if not self._free_slots or not self._queue:
            return ()
        self._free_slots -= 1
        return (admission.Start(exchange=self._queue.popleft()),)
