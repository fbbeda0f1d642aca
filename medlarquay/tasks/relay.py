"""Task that sends the configuration to the children of this node."""

import functools
import math
from collections.abc import Callable, Iterable

from twisted.internet import interfaces

from medlarquay import (
    codec,
    errors,
    events,
    ids,
    messages,
    replica,
    telemetry,
)
from medlarquay.tasks import (
    alarm,
    child_link_state,
    configuration,
    control_link,
    task,
)

__all__ = ('MAX_CHILDREN', 'Relay')

#: Number of children that may subscribe. A node has at most 8 children when
#: all nodes hold the same instance list, and the reader of a region 3 more; the
#: rest is for nodes whose lists differ and for starting nodes.
MAX_CHILDREN = 32
#: Minimum time between two rounds of deltas, in seconds; changes in between are
#: sent together.
BATCH_INTERVAL_S = 0.05
# The link of a child that sends nothing for this long, in seconds, is closed,
# which frees its place and the memory of what is buffered for it.
_SILENCE_TIMEOUT_S = 5
_MAX_LINKS = 512
_MS_PER_SECOND = 1000


class Relay(task.Task):
    """Sends the configuration to the children; owns their control links.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the sending of deltas and the timeouts of children.
    clock : callable
        Returns seconds on the monotonic clock.
    running : callable, optional
        Returns seconds without the pauses of this process, by which the
        silence of a child is measured; defaults to ``clock``.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        running: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(name='relay')
        self.configuration: task.Task | None = None
        self.membership: task.Task | None = None
        self.uplink: task.Task | None = None
        self.link_bytes = telemetry.LinkBytes()
        self.children: dict[ids.LinkId, child_link_state.ChildLinkState] = {}
        self.replica_state = events.ReplicaChanged(
            vector=replica.VersionVector(),
            digest=ids.Digest(bytes(32)),
            instances=None,
        )
        self.confirmed_at = -math.inf
        self.list_confirmed_at = -math.inf
        self._link_ids: dict[control_link.ControlLink, ids.LinkId] = {}
        self.instances: tuple[replica.InstanceRecord, ...] = ()
        self._clock = clock
        self._running = running or clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._last_link_id = 0
        self._sent_at = -math.inf

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def accept(self, link: control_link.ControlLink) -> None:
        """Take over a link whose handshake has completed."""
        if len(self.children) >= _MAX_LINKS:
            link.abort()
            return
        self._last_link_id += 1
        link_id = ids.LinkId(self._last_link_id)
        silent_at = self._running() + _SILENCE_TIMEOUT_S
        self.children[link_id] = child_link_state.ChildLinkState(
            link=link, silent_at=silent_at
        )
        self._link_ids[link] = link_id
        self._alarm.wake_at(self._clock() + _SILENCE_TIMEOUT_S)

    def receive_frame(
        self,
        link: control_link.ControlLink,
        frame: bytes,
    ) -> None:
        """Decode and handle a frame from a child."""
        link_id = self._link_ids.get(link)
        if link_id is None:
            return
        child = self.children[link_id]
        child.silent_at = self._running() + _SILENCE_TIMEOUT_S
        self.link_bytes.count_received(child.region, len(frame))
        try:
            message = codec.decode(frame, now=self._clock(), peer='child')
        except errors.DecodeError as failure:
            self._log.warning(
                'closed the control link from a child: {}', failure
            )
            link.abort()
            return
        _handle_frame(message, self, link_id)

    def remove_incoming(self, link: control_link.ControlLink) -> None:
        """Forget a link."""
        link_id = self._link_ids.pop(link, None)
        if link_id is not None:
            self.children.pop(link_id)
            self.report_child_count()

    def report_child_count(self) -> None:
        """Report to the membership how many children have subscribed."""
        if self.membership is not None:
            self.membership.post(
                events.ChildrenChanged(
                    count=_count_subscribed(self.children.values())
                )
            )

    def subscribe(
        self,
        child: child_link_state.ChildLinkState,
        vector: replica.VersionVector,
    ) -> None:
        """Accept a subscription, or refer the child to other nodes if full."""
        if (
            child.vector is None
            and _count_subscribed(self.children.values()) >= MAX_CHILDREN
        ):
            self.write(child, _build_referral(self))
            child.link.close()
            return
        child.vector = vector
        self.report_child_count()
        self.request_delta(child)

    def request_delta(self, child: child_link_state.ChildLinkState) -> None:
        """Request the delta from what a child holds from the configuration."""
        if child.vector is None or child.vector.covers(
            self.replica_state.vector
        ):
            return
        if self.configuration is not None:
            self.configuration.post(events.DeltaRequested(base=child.vector))

    def forward_change(self, change: events.ReplicaChanged) -> None:
        """Send a change, together with others if the last was sent recently."""
        self.replica_state = change
        if change.instances is not None:
            self.instances = change.instances
        send_at = self._sent_at + BATCH_INTERVAL_S
        if self._clock() >= send_at:
            self.request_deltas()
        else:
            self._alarm.wake_at(send_at)

    def request_deltas(self) -> None:
        """Request one delta for each version vector that children hold."""
        self._sent_at = self._clock()
        child_vectors = {
            child.vector
            for child in self.children.values()
            if child.vector is not None
        }
        for base in child_vectors:
            if not base.covers(self.replica_state.vector):
                if self.configuration is not None:
                    self.configuration.post(events.DeltaRequested(base=base))

    def check_time(self, tick: events.Tick) -> None:
        """Send the delayed changes and close the links of silent children."""
        self.request_deltas()
        running_now = self._running()
        for child in tuple(self.children.values()):
            if tick.lag_s > configuration.PAUSE_THRESHOLD_S:
                child.silent_at = running_now + _SILENCE_TIMEOUT_S
            if running_now >= child.silent_at:
                child.link.abort()
        if self.children:
            next_timeout_at = min(
                entry.silent_at for entry in self.children.values()
            )
            remaining = max(next_timeout_at - running_now, BATCH_INTERVAL_S)
            self._alarm.wake_at(tick.now + remaining)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def write(
        self, child: child_link_state.ChildLinkState, message: object
    ) -> None:
        """Send one message to a child."""
        self.write_frame(child, codec.encode(message, now=self._clock()))

    def write_frame(
        self, child: child_link_state.ChildLinkState, frame: bytes
    ) -> None:
        """Send one frame to a child."""
        self.link_bytes.count_sent(child.region, len(frame))
        child.link.send(frame)
        if self.uplink is not None:
            self.uplink.post(events.BytesSent(length=len(frame)))


def _count_subscribed(
    children: Iterable[child_link_state.ChildLinkState],
) -> int:
    return sum(child.vector is not None for child in children)


def _age_ms(confirmed_at: float, now: float) -> int | None:
    if confirmed_at == -math.inf:
        return None
    age = now - confirmed_at
    return max(0, math.ceil(age * _MS_PER_SECOND))


def _build_referral(relay: Relay) -> messages.Records:
    # Carries the instance records of the children of this node, which may have
    # room for another child. A starting node may know no node but this one.
    child_instances = {child.instance for child in relay.children.values()}
    records = tuple(
        record
        for record in relay.instances
        if record.instance in child_instances
    )
    return messages.Records(
        delta=replica.Delta(
            teams=(),
            instances=records,
            base=relay.replica_state.vector,
            reached=relay.replica_state.vector,
            digest=ids.Digest(b''),
        ),
    )


@functools.singledispatch
def _handle(message: object, relay: Relay) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _changed(message: events.ReplicaChanged, relay: Relay) -> None:
    relay.forward_change(message)


@_handle.register
def _fresh(message: events.FreshnessConfirmed, relay: Relay) -> None:
    relay.confirmed_at = message.confirmed_at
    relay.list_confirmed_at = message.list_confirmed_at


@_handle.register
def _tick(message: events.Tick, relay: Relay) -> None:
    relay.check_time(message)


@_handle.register
def _delta(message: events.DeltaReady, relay: Relay) -> None:
    receivers = [
        child
        for child in relay.children.values()
        if child.vector == message.delta.base
    ]
    for part in replica.split_delta(message.delta):
        records = messages.Records(delta=part)
        frame = codec.encode(records, now=relay.now())
        for child in receivers:
            relay.write_frame(child, frame)
    for child in receivers:
        child.vector = message.delta.reached


@_handle.register
def _heartbeat_due(message: events.HeartbeatDue, relay: Relay) -> None:
    child = relay.children.get(message.link)
    if child is not None:
        now = relay.now()
        heartbeat = messages.Heartbeat(
            nonce=message.nonce,
            age_ms=_age_ms(relay.confirmed_at, now),
            list_age_ms=_age_ms(relay.list_confirmed_at, now),
            vector=relay.replica_state.vector,
            digest=relay.replica_state.digest,
        )
        relay.write(child, heartbeat)


@functools.singledispatch
def _handle_frame(message: object, relay: Relay, link_id: ids.LinkId) -> None:
    relay.children[link_id].link.abort()


@_handle_frame.register
def _hello(
    message: messages.Hello,
    relay: Relay,
    link_id: ids.LinkId,
) -> None:
    relay.children[link_id].region = message.region
    relay.children[link_id].instance = message.instance


@_handle_frame.register
def _subscribe(
    message: messages.Subscribe,
    relay: Relay,
    link_id: ids.LinkId,
) -> None:
    relay.subscribe(relay.children[link_id], message.vector)


@_handle_frame.register
def _fetch_all(
    message: messages.FetchAll,
    relay: Relay,
    link_id: ids.LinkId,
) -> None:
    relay.subscribe(relay.children[link_id], replica.VersionVector())


@_handle_frame.register
def _probe(
    message: messages.Probe,
    relay: Relay,
    link_id: ids.LinkId,
) -> None:
    relay.request_delta(relay.children[link_id])
    # Queued behind the delta, so that the confirmation in the heartbeat holds
    # for the records that the child has received by then.
    relay.post(events.HeartbeatDue(link=link_id, nonce=message.nonce))
