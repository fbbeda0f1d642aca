"""The task that owns the lifecycle of the node."""

import functools
from collections.abc import Callable, Collection

from twisted.internet import interfaces

from medlarquay import events, states
from medlarquay.daemon import lifecycle_effects, lifecycle_machine, stop_timing
from medlarquay.tasks import alarm, task

__all__ = ('Lifecycle',)

# Parts that have requests in flight. The others only have bytes to send.
_REQUEST_PARTS = frozenset((states.NodePart.OWNER, states.NodePart.ROUTER))
# Iterations of the reactor before it stops, in which callers are accepted from
# the backlog and their requests are read and refused. A stop that is overdue
# after a pause of the process would cut them off.
_LAST_TURNS = 6


class Lifecycle(task.Task, lifecycle_effects.LifecycleEffects):
    """Owns the state of the node and its graceful stop.

    Parameters
    ----------
    reactor : IReactorTime and IReactorCore
        Schedules the drain deadline; is stopped at the end.
    clock : callable
        Returns seconds on the monotonic clock.
    parts : collection of Task
        Receive ``DrainRequested``; each reports ``WorkFinished``.
    subscribers : collection of Task
        Receive ``LifecycleChanged``.
    drain_timeout_s : float
        Longest time from the request to stop until the process ends, in
        seconds.
    stop_times : StopTiming, optional
        Shorter times within the drain timeout.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        parts: Collection[task.Task],
        subscribers: Collection[task.Task],
        drain_timeout_s: float,
        stop_times: stop_timing.StopTiming | None = None,
    ) -> None:
        super().__init__(name='lifecycle')
        self.machine = lifecycle_machine.build_machine(self)
        self.unfinished_parts = set(states.NodePart)
        self.stop_at: float | None = None
        self._reactor = reactor
        self._clock = clock
        self._parts = parts
        self._subscribers = subscribers
        self._drain_timeout_s = drain_timeout_s
        self._stop_times = (
            stop_timing.StopTiming() if stop_times is None else stop_times
        )
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def enter(self, state: states.NodeState) -> None:
        """Log the state entered and announce it to the subscribers."""
        self._log.info('entered state {}', state.value)
        for subscriber in self._subscribers:
            subscriber.post(events.LifecycleChanged(state=state))

    def start_drain(self) -> None:
        """Request the parts to finish their work before the drain deadline."""
        now = self._clock()
        deadline = now + self._drain_timeout_s
        self.stop_by(deadline)
        answer_by = deadline - self._stop_times.flush_s
        requested = events.DrainRequested(
            refuse_at=min(now + self._stop_times.linger_s, answer_by),
            answer_by=answer_by,
        )
        for part in self._parts:
            part.post(requested)

    def advance(self) -> None:
        """Enter the next state of a drain if the work left allows it.

        Flushing starts once no request is in flight, and the node stops once
        no part has work left.
        """
        if not self.unfinished_parts:
            self.machine.finish()
        elif not self.unfinished_parts & _REQUEST_PARTS:
            self.machine.flush()

    def stop_by(self, deadline: float) -> None:
        """Set the drain deadline, unless an earlier one is set.

        Parameters
        ----------
        deadline : float
            Latest time of the stop, in seconds on the monotonic clock.
        """
        if self.stop_at is None or deadline < self.stop_at:
            self.stop_at = deadline
        self._alarm.wake_at(self.stop_at)

    def stop(self) -> None:
        """Stop the reactor after its last turns, which ends the process."""
        if self.unfinished_parts:
            unfinished = ', '.join(
                sorted(part.value for part in self.unfinished_parts)
            )
            self._log.warning('drain deadline passed; working: {}', unfinished)
        self._stop_after(_LAST_TURNS)

    def _stop_after(self, turns: int) -> None:
        if turns:
            self._reactor.callLater(0, self._stop_after, turns - 1)
        else:
            self._reactor.stop()


@functools.singledispatch
def _handle(message: object, lifecycle: Lifecycle) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _replaced(message: events.SnapshotReplaced, lifecycle: Lifecycle) -> None:
    if message.snapshot.documents:
        lifecycle.machine.configure()
    else:
        lifecycle.machine.unconfigure()


@_handle.register
def _drain(message: events.DrainRequested, lifecycle: Lifecycle) -> None:
    lifecycle.machine.drain()


@_handle.register
def _finished(message: events.WorkFinished, lifecycle: Lifecycle) -> None:
    if lifecycle.stop_at is None:
        return
    lifecycle.unfinished_parts.discard(message.part)
    lifecycle.advance()


@_handle.register
def _tick(message: events.Tick, lifecycle: Lifecycle) -> None:
    if lifecycle.stop_at is None:
        return
    if message.now >= lifecycle.stop_at:
        lifecycle.machine.finish()
    else:
        lifecycle.stop_by(lifecycle.stop_at)
