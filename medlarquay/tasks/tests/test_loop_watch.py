"""Tests for the measurement of the event loop's lag."""

from collections.abc import Iterator

import logbook
import pytest
from twisted.internet import task as twisted_task

from medlarquay import events, ids, telemetry
from medlarquay.tasks import alarm, handler_times, loop_watch, task


class _Worker(task.Task):
    """Task whose handler takes time, and may post to another task."""

    def __init__(self, *, name: str, bench: 'LoopBench') -> None:
        super().__init__(name=name)
        self.next: task.Task | None = None
        self._bench = bench

    def receive(self, message: object) -> None:
        """Block for 150 ms, or for 10 ms more if a message is posted."""
        self._bench.elapse(0.15)
        if self.next is not None:
            self.next.post(events.LinkClosed(link=ids.LinkId(1)))
            self._bench.elapse(0.01)


class LoopBench:
    """A loop watch on clocks that the test advances."""

    def __init__(self) -> None:
        self.reactor = twisted_task.Clock()
        self.histograms = telemetry.Histograms()
        self.processor_s = 5.0
        self.times = handler_times.HandlerTimes(clock=self.reactor.seconds)
        self.watch = loop_watch.LoopWatch(
            reactor=self.reactor,
            clock=self.reactor.seconds,
            histograms=self.histograms,
            handlers=self.times,
            processor_clock=lambda: self.processor_s,
        )
        self.watch.start()

    def elapse(self, seconds: float) -> None:
        """Advance the clock within an iteration, without firing timers."""
        self.reactor.rightNow += seconds

    def turn(self) -> None:
        """Fire the timers that are due."""
        self.reactor.advance(0)


@pytest.fixture
def bench() -> LoopBench:
    """Return a loop watch that was just started."""
    return LoopBench()


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect the log records."""
    with logbook.TestHandler() as handler:
        yield handler


def test_high_lag_is_logged_with_longest_handler(
    bench: LoopBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a blocked event loop that shows only as late answers."""
    bench.times.run(
        lambda message: bench.elapse(0.25),
        events.LinkClosed(link=ids.LinkId(1)),
        'router',
    )
    bench.elapse(0.05)
    bench.processor_s += 0.09
    bench.turn()
    assert [record.message for record in logged.records] == [
        'lag_ms=200 period_ms=300 processor_ms=90'
        ' longest_ms=250 task=router message=LinkClosed',
    ]
    assert logged.records[0].level_name == 'WARNING'
    assert bench.histograms.loop_lag.greatest == pytest.approx(0.2)


def test_low_lag_is_measured_but_not_logged(
    bench: LoopBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a log line for each period."""
    for _ in range(20):
        bench.reactor.advance(0.1)
    assert not logged.records
    assert bench.histograms.loop_lag.count == 20


def test_log_line_omits_handler_of_earlier_period(
    bench: LoopBench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a log line that names a handler of an earlier period."""
    closed = events.LinkClosed(link=ids.LinkId(1))
    bench.times.run(lambda message: bench.elapse(0.09), closed, 'router')
    bench.elapse(0.02)
    bench.turn()
    bench.elapse(0.3)
    bench.turn()
    assert 'longest_ms=0' in logged.records[0].message


def test_handler_time_excludes_nested_handlers(
    monkeypatch: pytest.MonkeyPatch,
    bench: LoopBench,
) -> None:
    """Guards against a task reported for the time of one that it posted to."""
    monkeypatch.setattr(task, 'HANDLER_TIMES', bench.times)
    outer = _Worker(name='outer', bench=bench)
    outer.next = _Worker(name='inner', bench=bench)
    outer.post(events.LinkClosed(link=ids.LinkId(2)))
    longest = bench.times.take()
    assert (longest.task, longest.message) == ('outer', 'LinkClosed')
    assert longest.seconds == pytest.approx(0.16)


def test_handler_that_raises_is_measured(bench: LoopBench) -> None:
    """Guards against wrong times after a handler has raised."""

    def fail(message: object) -> None:
        bench.elapse(0.2)
        raise ValueError

    with pytest.raises(ValueError, match='^$'):
        bench.times.run(fail, object(), 'router')
    assert bench.times.take().seconds == pytest.approx(0.2)
    bench.times.run(lambda message: bench.elapse(0.1), object(), 'owner')
    assert bench.times.take().seconds == pytest.approx(0.1)


@pytest.mark.parametrize(('ticks', 'lines'), [(9, 0), (10, 1)])
def test_task_that_requests_ticks_without_a_wait_is_logged(
    bench: LoopBench,
    logged: logbook.TestHandler,
    ticks: int,
    lines: int,
) -> None:
    """Guards against many short handler runs that no log line names."""
    for _ in range(ticks):
        bench.times.overdue.count('owner')
    bench.times.overdue.count('router')
    bench.reactor.advance(0.1)
    bench.reactor.advance(0.1)
    named = [record.message for record in logged.records]
    assert named == [f'overdue={ticks} task=owner'] * lines


@pytest.mark.parametrize(('delay', 'counted'), [(-0.5, 1), (0, 1), (0.5, 0)])
def test_tick_requested_for_the_past_is_counted(
    bench: LoopBench,
    delay: float,
    counted: int,
) -> None:
    """Guards against overdue ticks that are not told from others."""
    overdue = task.HANDLER_TIMES.overdue
    overdue.take()
    timer = alarm.Alarm(
        reactor=bench.reactor,
        clock=bench.reactor.seconds,
        target=_Worker(name='worker', bench=bench),
    )
    timer.wake_at(bench.reactor.seconds() + delay)
    _, ticks = overdue.take()
    assert ticks == counted
