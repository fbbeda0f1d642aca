"""Measurement of the event loop's lag."""

from collections.abc import Iterator

import logbook
import pytest
from twisted.internet import task as twisted_task

from medlarquay import events, ids, telemetry
from medlarquay.tasks import handler_times, loop_watch, task


class _Worker(task.Task):
    """Takes a time for each message, and may post to another task."""

    def __init__(self, *, name: str, bench: '_Bench') -> None:
        super().__init__(name=name)
        self.next: task.Task | None = None
        self._bench = bench

    def receive(self, message: object) -> None:
        """Be busy."""
        self._bench.elapse(0.15)
        if self.next is not None:
            self.next.post(events.LinkClosed(link=ids.LinkId(1)))
            self._bench.elapse(0.01)


class _Bench:
    """A watch on clocks that the test moves."""

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
        """Let time pass within a turn: timers fire afterwards."""
        self.reactor.rightNow += seconds

    def turn(self) -> None:
        """Let the timers fire that are due."""
        self.reactor.advance(0)


@pytest.fixture
def bench() -> _Bench:
    """Return a watch that was just started."""
    return _Bench()


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect the lines that are logged."""
    with logbook.TestHandler() as handler:
        yield handler


def test_a_long_turn_is_logged_with_its_longest_handler(
    bench: _Bench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a busy loop that shows as late answers only."""
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


def test_a_prompt_loop_is_measured_without_a_line(
    bench: _Bench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a line for each period."""
    for _ in range(20):
        bench.reactor.advance(0.1)
    assert not logged.records
    assert bench.histograms.loop_lag.count == 20


def test_a_handler_of_an_earlier_period_is_not_named(
    bench: _Bench,
    logged: logbook.TestHandler,
) -> None:
    """Guards against a line that blames what was long before."""
    closed = events.LinkClosed(link=ids.LinkId(1))
    bench.times.run(lambda message: bench.elapse(0.09), closed, 'router')
    bench.elapse(0.02)
    bench.turn()
    bench.elapse(0.3)
    bench.turn()
    assert 'longest_ms=0' in logged.records[0].message


def test_the_time_of_a_handler_excludes_those_within(
    monkeypatch: pytest.MonkeyPatch,
    bench: _Bench,
) -> None:
    """Guards against a task blamed for another that it posted to."""
    monkeypatch.setattr(task, 'HANDLER_TIMES', bench.times)
    outer = _Worker(name='outer', bench=bench)
    outer.next = _Worker(name='inner', bench=bench)
    outer.post(events.LinkClosed(link=ids.LinkId(2)))
    found = bench.times.take()
    assert (found.task, found.message) == ('outer', 'LinkClosed')
    assert found.seconds == pytest.approx(0.16)


def test_a_handler_that_fails_is_measured(bench: _Bench) -> None:
    """Guards against times that are wrong after a fault in a handler."""

    def fail(message: object) -> None:
        bench.elapse(0.2)
        raise ValueError

    with pytest.raises(ValueError, match='^$'):
        bench.times.run(fail, object(), 'router')
    assert bench.times.take().seconds == pytest.approx(0.2)
    bench.times.run(lambda message: bench.elapse(0.1), object(), 'owner')
    assert bench.times.take().seconds == pytest.approx(0.1)
