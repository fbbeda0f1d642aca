"""Time for which the process has run."""

import time
from collections.abc import Callable

__all__ = ('RUNNING_CLOCK', 'RunningClock')

# The clock is read more often than this in a process that runs, so a longer
# step is a pause or a turn that read from no socket.
_LONGEST_STEP_S = 0.25


class RunningClock:
    """Clock that stands still while the process is paused.

    Parameters
    ----------
    clock : callable
        Returns seconds on the monotonic clock.

    Notes
    -----
    Silence is measured with this clock: what a peer sent during a pause of
    this process is read after the timers that came due in it. ``LoopWatch``
    reads it regularly.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._read_at = clock()
        self._seconds = self._read_at

    def seconds(self) -> float:
        """Return seconds for which the process has run, from any start."""
        now = self._clock()
        step = now - self._read_at
        self._read_at = now
        if step <= _LONGEST_STEP_S:
            self._seconds += step
        return self._seconds


#: Clock of the one event loop of the process.
RUNNING_CLOCK = RunningClock(clock=time.monotonic)
