"""Timer that wakes a task at the earliest requested time."""

from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.tasks import task

__all__ = ('Alarm',)


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
    to request the earliest of its remaining deadlines again.
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
        delay = deadline - self._clock()
        if delay <= 0:
            task.HANDLER_TIMES.overdue.count(self._target.name)
        self._call = self._reactor.callLater(max(0, delay), self._fire)

    def _fire(self) -> None:
        self._call = None
        now = self._clock()
        self._target.post(events.Tick(now=now, lag_s=now - self._deadline))
