"""The longest handler of a period."""

import time
from collections.abc import Callable

from medlarquay.tasks import longest_handler

__all__ = ('HandlerTimes',)


class HandlerTimes:
    """Keeps the longest handler since the last look.

    Parameters
    ----------
    clock : callable
        Returns seconds on a monotonic clock.

    Notes
    -----
    A handler that posts to an idle task runs that task's handler within its
    own. The time of such a handler counts for itself only, so that the one
    named is the one that was busy.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._clock = clock
        # Time of handlers that ran within the current one.
        self._within: float = 0
        self._longest_s: float = 0
        self._task = ''
        self._message: type = object

    def run(
        self,
        handler: Callable[[object], None],
        message: object,
        task: str,
    ) -> None:
        """Run a handler and measure it, also when it raises.

        Parameters
        ----------
        handler : callable
            Receives the message.
        message : object
            Message.
        task : str
            Name of the task whose handler it is.
        """
        outer = self._within
        self._within = 0
        started_at = self._clock()
        try:
            handler(message)
        finally:
            self._end(outer, self._clock() - started_at, message, task)

    def take(self) -> longest_handler.LongestHandler:
        """Return the longest handler since the last call, and forget it."""
        found = longest_handler.LongestHandler(
            task=self._task,
            message=self._message.__name__,
            seconds=self._longest_s,
        )
        self._longest_s = 0
        return found

    def _end(
        self,
        outer: float,
        elapsed: float,
        message: object,
        task: str,
    ) -> None:
        own = elapsed - self._within
        self._within = outer + elapsed
        if own > self._longest_s:
            self._longest_s = own
            self._task = task
            self._message = type(message)
