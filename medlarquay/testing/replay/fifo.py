"""Plain policy: one queue, no ranks and no deadlines."""

import collections

from medlarquay import admission, ids

__all__ = ('Fifo',)


class Fifo:
    """Plain policy that serves as the baseline of a replay.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    """

    def __init__(self, *, slots: int) -> None:
        self._free = slots
        self._queue: collections.deque[ids.ExchangeId] = collections.deque()

    def arrive(self, exchange: ids.ExchangeId) -> admission.Decisions:
        """Queue a request."""
        self._queue.append(exchange)
        return self._fill()

    def finish(self) -> admission.Decisions:
        """Free a slot."""
        self._free += 1
        return self._fill()

    def _fill(self) -> admission.Decisions:
        if not self._free or not self._queue:
            return ()
        self._free -= 1
        return (admission.Start(exchange=self._queue.popleft()),)
