"""Wakes a task at the earliest deadline it asked for."""

from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.tasks import task

__all__ = ('Alarm',)


class Alarm:
    """Posts a ``Tick`` to a task at the earliest time it asked for.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the wake-up.
    clock : callable
        Returns seconds on the monotonic clock.
    target : Task
        Receives ``Tick``.

    Notes
    -----
    Only the earliest time is kept. After each ``Tick`` the task asks again
    for the earliest of its remaining deadlines.
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
        """Ask for a ``Tick`` at a time, in seconds on the monotonic clock."""
        if self._call is not None:
            if self._deadline <= deadline:
                return
            self._call.cancel()
        self._deadline = deadline
        self._call = self._reactor.callLater(
            max(0, deadline - self._clock()),
            self._fire,
        )

    def _fire(self) -> None:
        self._call = None
        now = self._clock()
        self._target.post(events.Tick(now=now, lag_s=now - self._deadline))
