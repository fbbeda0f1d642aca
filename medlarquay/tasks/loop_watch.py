"""The task that measures the lag of the event loop."""

import time
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, telemetry
from medlarquay.tasks import alarm, handler_times, running_clock, task

__all__ = ('LoopWatch',)

# Period of the timer. A blocked iteration of the loop is certain to be logged
# if it lasts longer than the period and the least logged lag together.
_PERIOD_S = 0.1
_LOGGED_LAG_S = 0.1
# Overdue ticks of one task in a period from which they are logged.
_LOGGED_OVERDUE_TICKS = 10
_MS_PER_SECOND = 1000


class LoopWatch(task.Task):
    """Measures how late a timer fires, and logs the longest handler.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the timer.
    clock : callable
        Returns seconds on the monotonic clock.
    histograms : Histograms
        Records the lag.
    handlers : HandlerTimes, optional
        Measures the handlers; the one shared by all tasks of the process if
        left out.
    processor_clock : callable, optional
        Returns the processor time used by the process, in seconds.
    polled_clock : RunningClock, optional
        Clock to read in each period, as it needs regular reads; that of the
        process if left out.

    Notes
    -----
    A log line with much less processor time than lag means that the process
    was not scheduled. One whose longest handler is much shorter than the
    processor time means work outside handlers, such as reading from sockets.
    A line with ``overdue`` means that a task requests ticks without a wait.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        histograms: telemetry.Histograms,
        handlers: handler_times.HandlerTimes | None = None,
        processor_clock: Callable[[], float] = time.process_time,
        polled_clock: running_clock.RunningClock = running_clock.RUNNING_CLOCK,
    ) -> None:
        super().__init__(name='loop')
        self._clock = clock
        self._histograms = histograms
        self._handlers = handlers or task.HANDLER_TIMES
        self._processor_clock = processor_clock
        self._processor_s: float = 0
        self._polled_clock = polled_clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def start(self) -> None:
        """Start to measure."""
        self._begin_period()

    def receive(self, message: object) -> None:
        """Handle one message."""
        if isinstance(message, events.Tick):
            self._polled_clock.seconds()
            self._measure(message)
            self._report_overdue_ticks()
            self._begin_period()

    def _begin_period(self) -> None:
        self._handlers.take()
        self._processor_s = self._processor_clock()
        self._alarm.wake_at(self._clock() + _PERIOD_S)

    def _measure(self, tick: events.Tick) -> None:
        self._histograms.loop_lag.observe(max(0, tick.lag_s))
        if tick.lag_s < _LOGGED_LAG_S:
            return
        longest = self._handlers.take()
        self._log.warning(
            telemetry.format_fields(
                lag_ms=_ms(tick.lag_s),
                period_ms=_ms(tick.lag_s + _PERIOD_S),
                processor_ms=_ms(self._processor_clock() - self._processor_s),
                longest_ms=_ms(longest.seconds),
                task=longest.task or None,
                message=longest.message,
            ),
        )

    def _report_overdue_ticks(self) -> None:
        name, ticks = self._handlers.overdue.take()
        if ticks >= _LOGGED_OVERDUE_TICKS:
            self._log.warning(
                telemetry.format_fields(overdue=ticks, task=name),
            )


def _ms(seconds: float) -> int:
    return round(seconds * _MS_PER_SECOND)
