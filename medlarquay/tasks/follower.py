"""The task that follows a parent."""

import functools
import itertools
import math
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import (
    codec,
    errors,
    events,
    ids,
    messages,
    replica,
    states,
    telemetry,
)
from medlarquay.tasks import (
    alarm,
    configuration,
    connector,
    control_link,
    link_watcher,
    parent_link,
    parent_link_state,
    task,
)

__all__ = ('Follower',)

#: Time between two probes, in seconds.
PROBE_INTERVAL_S = 0.5
_MS_PER_SECOND = 1000


class Follower(task.Task):
    """Owns the control link to the parent, and to the next one on a change.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules probes and deadlines.
    links : Connector
        Opens the links.
    hello : Hello
        First message on each link.
    clock : callable
        Returns seconds on the monotonic clock.
    running : callable, optional
        Returns seconds without the pauses of the process, which measure
        silence; the clock if left out.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        links: connector.Connector,
        hello: messages.Hello,
        clock: Callable[[], float],
        running: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(name='follower')
        self.configuration: task.Task | None = None
        self.membership: task.Task | None = None
        self.link_bytes = telemetry.LinkBytes()
        self.vector = replica.VersionVector()
        self.digest = ids.Digest(b'')
        self.current: parent_link.ParentLink | None = None
        self.next: parent_link.ParentLink | None = None
        self._links = links
        self._hello = hello
        self._clock = clock
        self.running = running or clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._nonces = itertools.count(1)
        self._stale = False

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def follow(self, message: events.ParentChosen) -> None:
        """Follow another parent once it has answered."""
        for held in (self.current, self.next):
            if held is not None and held.state.parent == message.parent:
                held.state.must_be_fresh = message.must_be_fresh
        if message.parent is None:
            self._drop(self.current)
            self._drop(self.next)
        elif _is_held(self.current, message):
            self._drop(self.next)
        elif not _is_held(self.next, message):
            self._drop(self.next)
            self._try(message)

    def check_time(self, tick: events.Tick) -> None:
        """Probe the parents and give up those that are of no use."""
        for held in (self.current, self.next):
            if held is not None:
                _check_link(held, tick, self.running())
        self.tell_age(tick.now)
        if self.current is not None or self.next is not None:
            self._alarm.wake_at(tick.now + PROBE_INTERVAL_S)

    def tell_age(self, now: float) -> None:
        """Tell the membership when the parent becomes stale or fresh."""
        link = self.current
        if link is None or self.membership is None:
            return
        stale = link.state.is_stale(now=now)
        if stale is not self._stale:
            self._stale = stale
            self.membership.post(
                events.ParentAged(parent=link.state.parent, stale=stale),
            )

    def write(self, link: parent_link.ParentLink, message: object) -> None:
        """Send a message on one link."""
        if link.state.link is not None:
            frame = codec.encode(message, now=self._clock())
            self.link_bytes.count_sent(link.state.parent.region, len(frame))
            link.state.link.send(frame)

    def introduce(self, link: parent_link.ParentLink) -> None:
        """Introduce the node and ask for newer records."""
        self.write(link, self._hello)
        _ask(self, link)
        link.machine.probe_due(self._clock())

    def next_nonce(self) -> int:
        """Return a new nonce."""
        return next(self._nonces)

    def promote(self, link: parent_link.ParentLink) -> None:
        """Follow this parent instead of the previous one."""
        self._drop(self.current)
        self.current = link
        self.next = None
        self._stale = False
        self._log.info('following {}', link.state.parent.address)
        if self.membership is not None:
            self.membership.post(
                events.ParentAnswered(parent=link.state.parent),
            )

    def finish(self, link: parent_link.ParentLink) -> None:
        """Forget a link and report the loss unless it was dropped."""
        if link is self.current:
            self.current = None
        elif link is self.next:
            self.next = None
        else:
            return
        self._log.warning(
            'parent {} is not followed: {}',
            link.state.parent.address,
            link.state.fault.value,
        )
        if self.membership is not None:
            self.membership.post(
                events.ParentLost(
                    parent=link.state.parent,
                    reason=link.state.fault,
                ),
            )

    def _drop(self, link: parent_link.ParentLink | None) -> None:
        if link is None:
            return
        if link is self.current:
            self.current = None
        if link is self.next:
            self.next = None
        link.machine.ended()

    def _try(self, message: events.ParentChosen) -> None:
        if message.parent is None:
            return
        now = self._clock()
        state = parent_link_state.ParentLinkState.start(
            message.parent,
            now=now,
            running=self.running(),
        )
        state.must_be_fresh = message.must_be_fresh
        link = parent_link.ParentLink(state=state, owner=self)
        self.next = link
        self._alarm.wake_at(now + PROBE_INTERVAL_S)
        self._links.open(
            message.parent,
            link_watcher.LinkWatcher(
                opened=functools.partial(self._opened, link),
                received=functools.partial(self._received, link),
                closed=link.machine.ended,
                heard=lambda: link.state.note_bytes(running=self.running()),
            ),
        )

    def _opened(
        self,
        link: parent_link.ParentLink,
        opened: control_link.ControlLink,
    ) -> None:
        if link in {self.current, self.next}:
            link.machine.opened(opened)
        else:
            # The choice changed while the link was being opened.
            opened.abort()

    def _received(self, link: parent_link.ParentLink, frame: bytes) -> None:
        if link not in {self.current, self.next}:
            return
        parent = link.state.parent
        link.state.heard_at = self._clock()
        link.state.heard_bytes = len(frame)
        self.link_bytes.count_received(parent.region, len(frame))
        try:
            message = codec.decode(
                frame,
                now=link.state.heard_at,
                peer=parent.address,
            )
        except errors.DecodeError as failure:
            self._log.warning('closed a link: {}', failure)
            link.state.fault = states.ParentFault.MALFORMED
            link.machine.ended()
            return
        _take(message, self, link)


def _is_held(
    link: parent_link.ParentLink | None,
    message: events.ParentChosen,
) -> bool:
    return link is not None and link.state.parent == message.parent


def _ask(follower: Follower, link: parent_link.ParentLink) -> None:
    follower.write(
        link,
        messages.Subscribe(vector=follower.vector, digest=follower.digest),
    )


def _check_link(
    link: parent_link.ParentLink,
    tick: events.Tick,
    running: float,
) -> None:
    if tick.lag_s > configuration.PAUSED_S:
        link.state.expire(now=tick.now, running=running)
    if running >= link.state.silent_at:
        link.state.fault = states.ParentFault.SILENT
        link.machine.ended()
    elif running >= link.state.useless_at:
        link.machine.ended()
    else:
        link.machine.probe_due(tick.now)


@functools.singledispatch
def _handle(message: object, follower: Follower) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _chosen(message: events.ParentChosen, follower: Follower) -> None:
    follower.follow(message)


@_handle.register
def _tick(message: events.Tick, follower: Follower) -> None:
    follower.check_time(message)


@_handle.register
def _changed(message: events.ReplicaChanged, follower: Follower) -> None:
    follower.vector = message.vector
    follower.digest = message.digest


@functools.singledispatch
def _take(
    message: object,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    link.state.fault = states.ParentFault.MALFORMED
    link.machine.ended()


@_take.register
def _records(
    message: messages.Records,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    if follower.configuration is not None:
        follower.configuration.post(
            events.RecordsReceived(
                peer=link.state.parent.address,
                delta=message.delta,
                wire_bytes=link.state.heard_bytes,
                received_at=link.state.heard_at,
            ),
        )
    # The parent may have told a difference from another document.
    reached = follower.vector.covers(message.delta.reached)
    if not message.delta.differences:
        link.state.fetching_all = False
    elif not reached and not link.state.fetching_all:
        link.state.fetching_all = True
        follower.write(link, messages.FetchAll())


@_take.register
def _heartbeat(
    message: messages.Heartbeat,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    sent_at = link.state.probes.pop(message.nonce, None)
    if sent_at is None:
        # The probe was sent before a pause, or never.
        return
    now = follower.now()
    confirmed_at = _confirmed_at(message.age_ms, sent_at)
    link.state.confirm(confirmed_at)
    if link.state.take_heartbeat(
        message,
        follower.vector,
        running=follower.running(),
    ):
        link.machine.useful()
    follower.tell_age(now)
    _resynchronize(message, follower, link)
    if follower.configuration is not None:
        follower.configuration.post(
            events.FreshnessReceived(
                peer=link.state.parent.address,
                vector=message.vector,
                asked_at=sent_at,
                confirmed_at=confirmed_at,
                list_confirmed_at=_confirmed_at(message.list_age_ms, sent_at),
            ),
        )


def _resynchronize(
    heartbeat: messages.Heartbeat,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    # A parent sends the records before the heartbeat, so whatever is still
    # missing now was not sent.
    if not follower.vector.covers(heartbeat.vector):
        _ask(follower, link)
        return
    same = follower.vector == heartbeat.vector
    known = heartbeat.digest in {follower.digest, link.state.refetched}
    if same and not known:
        link.state.refetched = heartbeat.digest
        follower.write(link, messages.FetchAll())


def _confirmed_at(age_ms: int | None, sent_at: float) -> float:
    if age_ms is None:
        return -math.inf
    return sent_at - age_ms / _MS_PER_SECOND
