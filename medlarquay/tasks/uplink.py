"""The task that shares the link of the machine among large frames."""

import functools
import math
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, ids, pacing, states
from medlarquay.tasks import alarm, task

__all__ = ('Uplink',)

# Several fragments of a fast link are written in one turn.
_SHORTEST_WAKE_S = 0.004


class Uplink(task.Task):
    """Owns the large frames of all call links of a node until they leave.

    Parameters
    ----------
    reactor : IReactorTime
        Wakes the task when the link has room.
    clock : callable
        Returns seconds on the monotonic clock.
    bytes_per_s : float
        What the link of the machine carries; infinite if unknown. Then the
        sockets alone set the pace.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        bytes_per_s: float = math.inf,
    ) -> None:
        super().__init__(name='uplink')
        self.links: task.Task | None = None
        self.owner: task.Task | None = None
        self.schedule = pacing.Schedule(bytes_per_s=bytes_per_s)
        # Whether a fragment was given to the links and not confirmed yet.
        self.writing = False
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._last = 0
        self._report = pacing.BacklogReporter()

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)
        self._tell_owner()

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def next_stream(self) -> ids.StreamId:
        """Return a new number for a frame."""
        self._last += 1
        return ids.StreamId(self._last)

    def advance(self) -> None:
        """Take steps until a fragment is being written or none may be."""
        waiting = False
        while not self.writing and not waiting:
            step = self.schedule.next_step(self._clock())
            waiting = isinstance(step, pacing.Wait)
            _carry_out(step, self)

    def wake_at(self, deadline: float) -> None:
        """Ask for a ``Tick``."""
        if deadline < math.inf:
            self._alarm.wake_at(max(deadline, self._clock() + _SHORTEST_WAKE_S))

    def tell_links(
        self,
        message: events.WriteFragment | events.FrameDropped,
    ) -> None:
        """Give the links a message."""
        if self.links is not None:
            self.links.post(message)

    def abort_stream(self, frame: pacing.LargeFrame) -> None:
        """Let the receiver discard what it holds of a frame."""
        if frame.sent:
            self.tell_links(
                events.WriteFragment(
                    link=frame.link,
                    call_id=frame.call_id,
                    stream=frame.stream,
                    kind=states.FragmentKind.ABORT,
                    content=b'',
                ),
            )

    def _tell_owner(self) -> None:
        """Tell the owner when what waits has changed."""
        now = self._clock()
        if not len(self.schedule):
            if self._report.is_idle(self.schedule.pace.free_at(0, now), now):
                return
        free_at = self.schedule.free_at(now)
        if self.owner is not None and self._report.should_report(free_at, now):
            self.owner.post(events.UplinkChanged(free_at=free_at))


@functools.singledispatch
def _handle(message: object, uplink: Uplink) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _queue(message: events.QueueFrame, uplink: Uplink) -> None:
    uplink.schedule.add(
        pacing.LargeFrame(
            link=message.link,
            call_id=message.call_id,
            stream=uplink.next_stream(),
            content=message.frame,
            urgency=message.urgency,
        ),
    )
    uplink.advance()


@_handle.register
def _withdraw(message: events.WithdrawFrame, uplink: Uplink) -> None:
    frame = uplink.schedule.remove(message.link, message.call_id)
    if frame is not None:
        uplink.abort_stream(frame)


@_handle.register
def _link_closed(message: events.LinkClosed, uplink: Uplink) -> None:
    uplink.schedule.remove_link(message.link)
    uplink.advance()


@_handle.register
def _sent(message: events.BytesSent, uplink: Uplink) -> None:
    uplink.schedule.pace.count(message.length, uplink.now())


@_handle.register
def _written(message: events.FragmentWritten, uplink: Uplink) -> None:
    uplink.writing = False
    if message.socket_full:
        uplink.schedule.full_sockets.add(message.link, uplink.now())
    uplink.advance()


@_handle.register
def _drained(message: events.SocketDrained, uplink: Uplink) -> None:
    uplink.schedule.full_sockets.discard(message.link)
    uplink.advance()


@_handle.register
def _tick(message: events.Tick, uplink: Uplink) -> None:
    uplink.advance()


@functools.singledispatch
def _carry_out(step: object, uplink: Uplink) -> None:
    raise TypeError(f'unexpected step {type(step).__name__}')


@_carry_out.register
def _send_part(step: pacing.SendFragment, uplink: Uplink) -> None:
    frame = step.frame
    part = uplink.schedule.take_fragment(frame, uplink.now())
    last = not frame.remaining
    uplink.writing = True
    uplink.tell_links(
        events.WriteFragment(
            link=frame.link,
            call_id=frame.call_id,
            stream=frame.stream,
            kind=states.FragmentKind.LAST if last else states.FragmentKind.PART,
            content=part,
        ),
    )


@_carry_out.register
def _drop(step: pacing.DropFrame, uplink: Uplink) -> None:
    frame = step.frame
    uplink.schedule.remove(frame.link, frame.call_id)
    uplink.abort_stream(frame)
    uplink.tell_links(
        events.FrameDropped(link=frame.link, call_id=frame.call_id),
    )


@_carry_out.register
def _wait(step: pacing.Wait, uplink: Uplink) -> None:
    uplink.wake_at(step.until)
