"""Measurement of how long message handlers run."""

import time
from collections.abc import Callable

from medlarquay.tasks import longest_handler, overdue_ticks

__all__ = ('HandlerTimes',)


class HandlerTimes:
    """Records the longest handler run since the last ``take``.

    Parameters
    ----------
    clock : callable
        Returns seconds on a monotonic clock.

    Attributes
    ----------
    overdue : OverdueTicks
        Counts the ticks that tasks requested for a time that had passed.

    Notes
    -----
    A handler that posts to an idle task runs that task's handler nested in its
    own. The time of a nested handler is not counted for the outer one, so that
    the handler reported is the one that was busy.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self.overdue = overdue_ticks.OverdueTicks()
        self._clock = clock
        # Seconds of handlers nested in the current one.
        self._nested_s: float = 0
        self._longest_s: float = 0
        self._task = ''
        self._message: type = object

    def run(
        self,
        handler: Callable[[object], None],
        message: object,
        task: str,
    ) -> None:
        """Run a handler and measure its time, also if it raises.

        Parameters
        ----------
        handler : callable
            Handler; called with the message.
        message : object
            Message to handle.
        task : str
            Name of the task that the handler belongs to.
        """
        outer_s = self._nested_s
        self._nested_s = 0
        started_at = self._clock()
        try:
            handler(message)
        finally:
            self._record(outer_s, self._clock() - started_at, message, task)

    def take(self) -> longest_handler.LongestHandler:
        """Return the longest run since the last call, and reset it to 0."""
        longest = longest_handler.LongestHandler(
            task=self._task,
            message=self._message.__name__,
            seconds=self._longest_s,
        )
        self._longest_s = 0
        return longest

    def _record(
        self,
        outer_s: float,
        elapsed_s: float,
        message: object,
        task: str,
    ) -> None:
        self_s = elapsed_s - self._nested_s
        self._nested_s = outer_s + elapsed_s
        if self_s > self._longest_s:
            self._longest_s = self_s
            self._task = task
            self._message = type(message)
