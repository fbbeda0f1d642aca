"""Clock that excludes the time for which the process was paused."""

import time
from collections.abc import Callable

__all__ = ('RUNNING_CLOCK', 'RunningClock')

# While the process runs, the clock is read more often than this. A longer step
# is a pause, or an iteration of the event loop that read from no socket.
_LONGEST_STEP_S = 0.25


class RunningClock:
    """Clock that excludes the time for which the process was paused.

    Parameters
    ----------
    clock : callable
        Returns seconds on the monotonic clock.

    Notes
    -----
    Inactivity timeouts of peers and callers use this clock. After a pause of
    this process, timers that expired during the pause fire before the bytes
    that arrived during it are read; on a plain monotonic clock, healthy peers
    would time out. ``LoopWatch`` reads the clock regularly.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._read_at = clock()
        self._seconds = self._read_at

    def seconds(self) -> float:
        """Return seconds for which the process has run, from an arbitrary start."""
        now = self._clock()
        step = now - self._read_at
        self._read_at = now
        if step <= _LONGEST_STEP_S:
            self._seconds += step
        return self._seconds


#: Clock of the event loop of the process.
RUNNING_CLOCK = RunningClock(clock=time.monotonic)
