"""Timers of tasks."""

import pytest
from twisted.internet import task as twisted_task

from medlarquay import events
from medlarquay.tasks import alarm, task


class _Repeater(task.Task):
    """Task whose tick requests a time at an offset from now again."""

    def __init__(self, *, clock: twisted_task.Clock, offset: float) -> None:
        super().__init__(name='repeater')
        self.ticks: list[events.Tick] = []
        self.alarm = alarm.Alarm(
            reactor=clock, clock=clock.seconds, target=self
        )
        self._clock = clock
        self._offset = offset

    def receive(self, message: object) -> None:
        """Record the tick and request the next one."""
        assert isinstance(message, events.Tick)
        self.ticks.append(message)
        assert len(self.ticks) < 1000, 'ticks without a wait'
        self.alarm.wake_at(self._clock.seconds() + self._offset)


@pytest.mark.parametrize('offset', [-5, 0, 1e-9])
def test_task_that_leaves_its_deadline_in_the_past_waits(offset: float) -> None:
    """Guards against ticks without a wait, which take the whole processor."""
    clock = twisted_task.Clock()
    repeater = _Repeater(clock=clock, offset=offset)
    repeater.alarm.wake_at(clock.seconds())
    for _ in range(100):
        clock.advance(0.01)
    assert 1 < len(repeater.ticks) <= 1 / 0.004


def test_first_tick_for_a_time_that_has_passed_is_not_delayed() -> None:
    """Guards against a limit that delays a task which has waited."""
    clock = twisted_task.Clock()
    repeater = _Repeater(clock=clock, offset=1)
    for expected in (1, 2):
        repeater.alarm.wake_at(clock.seconds() - 1)
        clock.advance(0)
        assert len(repeater.ticks) == expected
        clock.advance(0.5)
