"""Timer that wakes a task at the earliest requested time."""

import math
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.tasks import task

__all__ = ('Alarm',)

# Least time between two ticks of a task, in seconds. A task whose tick leaves
# its earliest deadline in place would otherwise take the whole processor.
_LEAST_INTERVAL_S = 0.004


class Alarm:
    """Timer that posts a ``Tick`` to a task at the earliest requested time.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the timer.
    clock : callable
        Returns seconds on the monotonic clock.
    target : Task
        Task that receives ``Tick``.

    Notes
    -----
    Only the earliest requested time is kept. After each ``Tick`` the task has
    to request the earliest of its remaining deadlines again. Two ticks of a
    task are at least 4 ms apart, whatever it requests.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        target: task.Task,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._target = target
        self._call: interfaces.IDelayedCall | None = None
        self._deadline: float = 0
        self._next_tick_at = -math.inf

    def wake_at(self, deadline: float) -> None:
        """Request a ``Tick``.

        Parameters
        ----------
        deadline : float
            Time in seconds on the monotonic clock. Ignored if an earlier time
            is already requested.
        """
        if self._call is not None:
            if self._deadline <= deadline:
                return
            self._call.cancel()
        self._deadline = deadline
        now = self._clock()
        if deadline <= now:
            task.HANDLER_TIMES.overdue.count(self._target.name)
        fire_at = max(deadline, self._next_tick_at, now)
        self._call = self._reactor.callLater(fire_at - now, self._fire)

    def _fire(self) -> None:
        self._call = None
        now = self._clock()
        self._next_tick_at = now + _LEAST_INTERVAL_S
        self._target.post(events.Tick(now=now, lag_s=now - self._deadline))
