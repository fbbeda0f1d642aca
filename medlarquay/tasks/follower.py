"""Task that receives the configuration from a parent."""

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
    link_callbacks,
    parent_link,
    parent_link_state,
    task,
)

__all__ = ('Follower',)

#: Interval between the probes of a parent, in seconds.
PROBE_INTERVAL_S = 0.5
# A node that holds nothing yet serves as soon as its parent confirms what it
# has received, so it asks more often.
_START_PROBE_INTERVAL_S = 0.1
_MS_PER_SECOND = 1000


class Follower(task.Task):
    """Receives the configuration from a parent.

    Owns the control link to the parent and, during a change of parents, the
    one to the candidate that is to replace it.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules probes and timeouts.
    links : Connector
        Opens the links.
    hello : Hello
        First message on each link.
    clock : callable
        Returns seconds on the monotonic clock.
    running_clock : callable, optional
        Returns seconds without the pauses of this process, by which the
        silence of a parent is measured; defaults to ``clock``.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        links: connector.Connector,
        hello: messages.Hello,
        clock: Callable[[], float],
        running_clock: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(name='follower')
        self.configuration: task.Task | None = None
        self.membership: task.Task | None = None
        self.link_bytes = telemetry.LinkBytes()
        self.vector = replica.VersionVector()
        self.digest = ids.Digest(b'')
        self.current: parent_link.ParentLink | None = None
        self.candidate: parent_link.ParentLink | None = None
        self._links = links
        self._hello = hello
        self._clock = clock
        self.running_clock = running_clock or clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._nonces = itertools.count(1)
        self._stale = False
        self._probe_at = math.inf

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def follow(self, message: events.ParentChosen) -> None:
        """Connect to a chosen parent; follow it once it has answered."""
        for link in (self.current, self.candidate):
            if link is not None and link.state.parent == message.parent:
                link.state.must_be_fresh = message.must_be_fresh
                link.state.reads_source = message.parent_reads_source
        if message.parent is None:
            self._abandon(self.current)
            self._abandon(self.candidate)
        elif _leads_to_parent(self.current, message):
            self._abandon(self.candidate)
        elif not _leads_to_parent(self.candidate, message):
            self._abandon(self.candidate)
            self._connect(message)

    def check_time(self, tick: events.Tick) -> None:
        """Send the probes and give up parents that are silent or unusable."""
        probe_due = tick.now >= self._probe_at
        if probe_due:
            self._probe_at = tick.now + self._probe_interval_s
        for link in (self.current, self.candidate):
            if link is not None:
                _check_link(
                    link, tick, self.running_clock(), probe_due=probe_due
                )
        self.report_staleness(tick.now)
        self._schedule_check(tick.now)

    def report_staleness(self, now: float) -> None:
        """Report whether the parent may lack changes to the membership.

        It may if it doesn't answer, or if its data was confirmed by the source
        too long ago.
        """
        link = self.current
        if link is None or self.membership is None:
            return
        unanswered = link.state.is_unanswered(running_now=self.running_clock())
        stale = unanswered or link.state.is_stale(now=now)
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

    def subscribe(self, link: parent_link.ParentLink) -> None:
        """Send the hello message and subscribe to newer records."""
        self.write(link, self._hello)
        _request_records(self, link)
        link.machine.probe_due(self._clock())

    def next_nonce(self) -> int:
        """Return an unused nonce."""
        return next(self._nonces)

    def promote(self, link: parent_link.ParentLink) -> None:
        """Follow this parent instead of the previous one."""
        self._abandon(self.current)
        self.current = link
        self.candidate = None
        self._stale = False
        self._log.info('following {}', link.state.parent.address)
        if self.membership is not None:
            self.membership.post(
                events.ParentAnswered(parent=link.state.parent),
            )

    def finish(self, link: parent_link.ParentLink) -> None:
        """Forget a link; report its loss unless this task abandoned it."""
        if link is self.current:
            self.current = None
        elif link is self.candidate:
            self.candidate = None
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

    @property
    def _probe_interval_s(self) -> float:
        if self.current is None and self.vector == replica.VersionVector():
            return _START_PROBE_INTERVAL_S
        return PROBE_INTERVAL_S

    def _abandon(self, link: parent_link.ParentLink | None) -> None:
        if link is None:
            return
        if link is self.current:
            self.current = None
        if link is self.candidate:
            self.candidate = None
        link.machine.ended()

    def _connect(self, message: events.ParentChosen) -> None:
        if message.parent is None:
            return
        now = self._clock()
        state = parent_link_state.ParentLinkState.start(
            message.parent,
            now=now,
            running_now=self.running_clock(),
        )
        state.must_be_fresh = message.must_be_fresh
        state.reads_source = message.parent_reads_source
        link = parent_link.ParentLink(state=state, owner=self)
        self.candidate = link
        self._probe_at = min(self._probe_at, now + self._probe_interval_s)
        self._schedule_check(now)
        self._links.open(
            message.parent,
            link_callbacks.LinkCallbacks(
                opened=functools.partial(self._opened, link),
                received=functools.partial(self._received, link),
                closed=link.machine.ended,
                data_arrived=lambda: link.state.record_bytes(
                    running_now=self.running_clock()
                ),
            ),
        )

    def _schedule_check(self, now: float) -> None:
        """Request a tick for the next probe or the next timeout of a link."""
        running_now = self.running_clock()
        timeouts = [
            min(link.state.silent_at, link.state.answer_due_at) - running_now
            for link in (self.current, self.candidate)
            if link is not None
        ]
        if not timeouts:
            self._probe_at = math.inf
            return
        waits = [wait for wait in timeouts if wait > 0]
        self._alarm.wake_at(
            min(self._probe_at, now + min(waits, default=math.inf)),
        )

    def _opened(
        self,
        link: parent_link.ParentLink,
        opened_link: control_link.ControlLink,
    ) -> None:
        if link in {self.current, self.candidate}:
            # The peer has answered the handshake.
            link.state.record_bytes(running_now=self.running_clock())
            link.machine.opened(opened_link)
        else:
            # Another parent was chosen while the link was being opened.
            opened_link.abort()

    def _received(self, link: parent_link.ParentLink, frame: bytes) -> None:
        if link not in {self.current, self.candidate}:
            return
        parent = link.state.parent
        link.state.received_at = self._clock()
        link.state.received_bytes = len(frame)
        self.link_bytes.count_received(parent.region, len(frame))
        try:
            message = codec.decode(
                frame,
                now=link.state.received_at,
                peer=parent.address,
            )
        except errors.DecodeError as failure:
            self._log.warning(
                'closed the control link to a parent: {}', failure
            )
            link.state.fault = states.ParentFault.MALFORMED
            link.machine.ended()
            return
        _handle_frame(message, self, link)


def _leads_to_parent(
    link: parent_link.ParentLink | None,
    message: events.ParentChosen,
) -> bool:
    return link is not None and link.state.parent == message.parent


def _request_records(follower: Follower, link: parent_link.ParentLink) -> None:
    follower.write(
        link,
        messages.Subscribe(vector=follower.vector, digest=follower.digest),
    )


def _check_link(
    link: parent_link.ParentLink,
    tick: events.Tick,
    running_now: float,
    *,
    probe_due: bool,
) -> None:
    if tick.lag_s > configuration.PAUSE_THRESHOLD_S:
        link.state.reset_after_pause(now=tick.now, running_now=running_now)
    if running_now >= link.state.silent_at:
        link.state.fault = states.ParentFault.SILENT
        link.machine.ended()
    elif running_now >= link.state.unusable_at:
        link.machine.ended()
    elif probe_due:
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
def _handle_frame(
    message: object,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    link.state.fault = states.ParentFault.MALFORMED
    link.machine.ended()


@_handle_frame.register
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
                wire_bytes=link.state.received_bytes,
                received_at=link.state.received_at,
            ),
        )
    # The replica may hold another version of a document than the one that the
    # difference is based on.
    applied = follower.vector.covers(message.delta.reached)
    if not message.delta.differences:
        link.state.fetching_all = False
    elif not applied and not link.state.fetching_all:
        link.state.fetching_all = True
        follower.write(link, messages.FetchAll())


@_handle_frame.register
def _heartbeat(
    message: messages.Heartbeat,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    sent_at = link.state.probes.pop(message.nonce, None)
    if sent_at is None:
        # The answered probe was sent before a pause, or not at all.
        return
    now = follower.now()
    confirmed_at = _confirmed_at(message.age_ms, sent_at)
    link.state.confirm(confirmed_at)
    if link.state.check_heartbeat(
        message,
        follower.vector,
        running_now=follower.running_clock(),
    ):
        link.machine.usable()
    follower.report_staleness(now)
    _resynchronize(message, follower, link)
    if follower.configuration is not None:
        follower.configuration.post(
            events.FreshnessReceived(
                peer=link.state.parent.address,
                vector=message.vector,
                requested_at=sent_at,
                confirmed_at=confirmed_at,
                list_confirmed_at=_confirmed_at(message.list_age_ms, sent_at),
            ),
        )


def _resynchronize(
    heartbeat: messages.Heartbeat,
    follower: Follower,
    link: parent_link.ParentLink,
) -> None:
    # A parent sends newer records before the heartbeat, so records that are
    # still missing now were not sent.
    if not follower.vector.covers(heartbeat.vector):
        _request_records(follower, link)
        return
    same_vector = follower.vector == heartbeat.vector
    digest_known = heartbeat.digest in {
        follower.digest,
        link.state.refetched_digest,
    }
    if same_vector and not digest_known:
        link.state.refetched_digest = heartbeat.digest
        follower.write(link, messages.FetchAll())


def _confirmed_at(age_ms: int | None, sent_at: float) -> float:
    if age_ms is None:
        return -math.inf
    return sent_at - age_ms / _MS_PER_SECOND
