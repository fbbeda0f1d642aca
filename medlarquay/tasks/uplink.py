"""Task that paces large frames on the network link of the machine."""

import functools
import math
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, ids, pacing, states
from medlarquay.tasks import alarm, task

__all__ = ('Uplink',)

# Minimum delay of a tick; on a fast link several fragments are written at each.
_MIN_TICK_DELAY_S = 0.004


class Uplink(task.Task):
    """Owns the large frames of all call links of a node until they are sent.

    Parameters
    ----------
    reactor : IReactorTime
        Wakes the task when the next fragment may be sent.
    clock : callable
        Returns seconds on the monotonic clock.
    bytes_per_s : float
        Rate of the machine's network link; infinite if unknown. In that case
        only the backpressure of the sockets limits the rate.
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
        # Whether a fragment was posted to the links task and not confirmed yet.
        self.fragment_in_flight = False
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._last_stream = 0
        self._reporter = pacing.BacklogReporter()

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)
        self._report_backlog()

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def next_stream(self) -> ids.StreamId:
        """Return a new stream number, which identifies a frame on its link."""
        self._last_stream += 1
        return ids.StreamId(self._last_stream)

    def advance(self) -> None:
        """Carry out steps until a fragment is in flight or none may be sent."""
        waiting = False
        while not self.fragment_in_flight and not waiting:
            step = self.schedule.next_step(self._clock())
            waiting = isinstance(step, pacing.Wait)
            _carry_out(step, self)

    def wake_at(self, deadline: float) -> None:
        """Request a ``Tick`` at a time on the monotonic clock."""
        if deadline < math.inf:
            self._alarm.wake_at(
                max(deadline, self._clock() + _MIN_TICK_DELAY_S)
            )

    def post_to_links(
        self,
        message: events.WriteFragment | events.FrameDropped,
    ) -> None:
        """Post a message to the links task."""
        if self.links is not None:
            self.links.post(message)

    def abort_stream(self, frame: pacing.LargeFrame) -> None:
        """Make the receiver discard the fragments of an unfinished frame."""
        if frame.sent:
            self.post_to_links(
                events.WriteFragment(
                    link=frame.link,
                    call_id=frame.call_id,
                    stream=frame.stream,
                    kind=states.FragmentKind.ABORT,
                    content=b'',
                ),
            )

    def _report_backlog(self) -> None:
        """Report the backlog to the owner if it has changed."""
        now = self._clock()
        if not len(self.schedule):
            if self._reporter.is_idle(self.schedule.pace.free_at(0, now), now):
                return
        free_at = self.schedule.free_at(now)
        if self.owner is not None and self._reporter.should_report(
            free_at, now
        ):
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
def _bytes_sent(message: events.BytesSent, uplink: Uplink) -> None:
    uplink.schedule.pace.count(message.length, uplink.now())


@_handle.register
def _fragment_written(message: events.FragmentWritten, uplink: Uplink) -> None:
    uplink.fragment_in_flight = False
    if message.socket_full:
        uplink.schedule.full_sockets.add(message.link, uplink.now())
    uplink.advance()


@_handle.register
def _socket_drained(message: events.SocketDrained, uplink: Uplink) -> None:
    uplink.schedule.full_sockets.discard(message.link)
    uplink.advance()


@_handle.register
def _tick(message: events.Tick, uplink: Uplink) -> None:
    uplink.advance()


@functools.singledispatch
def _carry_out(step: object, uplink: Uplink) -> None:
    raise TypeError(f'unexpected step {type(step).__name__}')


@_carry_out.register
def _send_fragment(step: pacing.SendFragment, uplink: Uplink) -> None:
    frame = step.frame
    fragment = uplink.schedule.take_fragment(frame, uplink.now())
    last = not frame.remaining
    uplink.fragment_in_flight = True
    uplink.post_to_links(
        events.WriteFragment(
            link=frame.link,
            call_id=frame.call_id,
            stream=frame.stream,
            kind=states.FragmentKind.LAST if last else states.FragmentKind.PART,
            content=fragment,
        ),
    )


@_carry_out.register
def _drop(step: pacing.DropFrame, uplink: Uplink) -> None:
    frame = step.frame
    uplink.schedule.remove(frame.link, frame.call_id)
    uplink.abort_stream(frame)
    uplink.post_to_links(
        events.FrameDropped(link=frame.link, call_id=frame.call_id),
    )


@_carry_out.register
def _wait(step: pacing.Wait, uplink: Uplink) -> None:
    uplink.wake_at(step.until)
