"""The task that passes the configuration on to children."""

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

#: Children that may subscribe. Lists that agree give 8, and 3 more for the
#: reader of a region; the rest is for differing lists and starting nodes.
MAX_CHILDREN = 32
#: Changes within this time are sent as one message, in seconds.
BUNDLE_S = 0.05
# A child that sends nothing for this long is gone. It frees its place, and
# nothing more is buffered for it.
_SILENT_S = 5
_MAX_LINKS = 512
_MS_PER_SECOND = 1000


class Relay(task.Task):
    """Owns the control links from children.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the bundles.
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
        clock: Callable[[], float],
        running: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(name='relay')
        self.configuration: task.Task | None = None
        self.membership: task.Task | None = None
        self.uplink: task.Task | None = None
        self.link_bytes = telemetry.LinkBytes()
        self.children: dict[ids.LinkId, child_link_state.ChildLinkState] = {}
        self.held = events.ReplicaChanged(
            vector=replica.VersionVector(),
            digest=ids.Digest(bytes(32)),
            instances=None,
        )
        self.confirmed_at = -math.inf
        self.list_confirmed_at = -math.inf
        self._numbers: dict[control_link.ControlLink, ids.LinkId] = {}
        self.instances: tuple[replica.InstanceRecord, ...] = ()
        self._clock = clock
        self._running = running or clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._last = 0
        self._sent_at = -math.inf

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def accept(self, link: control_link.ControlLink) -> None:
        """Take over a link after its handshake."""
        if len(self.children) >= _MAX_LINKS:
            link.abort()
            return
        self._last += 1
        number = ids.LinkId(self._last)
        silent_at = self._running() + _SILENT_S
        self.children[number] = child_link_state.ChildLinkState(
            link=link, silent_at=silent_at
        )
        self._numbers[link] = number
        self._alarm.wake_at(self._clock() + _SILENT_S)

    def receive_frame(
        self,
        link: control_link.ControlLink,
        frame: bytes,
    ) -> None:
        """Decode and handle a frame of a child."""
        number = self._numbers.get(link)
        if number is None:
            return
        found = self.children[number]
        found.silent_at = self._running() + _SILENT_S
        self.link_bytes.count_received(found.region, len(frame))
        try:
            message = codec.decode(frame, now=self._clock(), peer='child')
        except errors.DecodeError as failure:
            self._log.warning('closed a link: {}', failure)
            link.abort()
            return
        _take(message, self, number)

    def close_incoming(self, link: control_link.ControlLink) -> None:
        """Forget a link."""
        number = self._numbers.pop(link, None)
        if number is not None:
            self.children.pop(number)
            self.tell_children()

    def tell_children(self) -> None:
        """Tell the membership how many children follow."""
        if self.membership is not None:
            self.membership.post(
                events.ChildrenChanged(count=_count(self.children.values()))
            )

    def subscribe(
        self,
        found: child_link_state.ChildLinkState,
        vector: replica.VersionVector,
    ) -> None:
        """Take a child, or name others if there is no place for it."""
        if (
            found.vector is None
            and _count(self.children.values()) >= MAX_CHILDREN
        ):
            self.write(found, _refusal(self))
            found.link.close()
            return
        found.vector = vector
        self.tell_children()
        self.request_delta(found)

    def request_delta(self, found: child_link_state.ChildLinkState) -> None:
        """Ask the configuration for what a child lacks."""
        if found.vector is None or found.vector.covers(self.held.vector):
            return
        if self.configuration is not None:
            self.configuration.post(events.DeltaRequested(base=found.vector))

    def take_change(self, changed: events.ReplicaChanged) -> None:
        """Send a change at once, or with others shortly after the last."""
        self.held = changed
        if changed.instances is not None:
            self.instances = changed.instances
        due = self._sent_at + BUNDLE_S
        if self._clock() >= due:
            self.send_changes()
        else:
            self._alarm.wake_at(due)

    def send_changes(self) -> None:
        """Ask once for what each group of children lacks."""
        self._sent_at = self._clock()
        vectors = {
            found.vector
            for found in self.children.values()
            if found.vector is not None
        }
        for base in vectors:
            if not base.covers(self.held.vector):
                if self.configuration is not None:
                    self.configuration.post(events.DeltaRequested(base=base))

    def check_time(self, tick: events.Tick) -> None:
        """Send what was held back and drop children that are gone."""
        self.send_changes()
        running = self._running()
        for found in tuple(self.children.values()):
            if tick.lag_s > configuration.PAUSED_S:
                found.silent_at = running + _SILENT_S
            if running >= found.silent_at:
                found.link.abort()
        if self.children:
            earliest = min(entry.silent_at for entry in self.children.values())
            left = max(earliest - running, BUNDLE_S)
            self._alarm.wake_at(tick.now + left)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def write(
        self, found: child_link_state.ChildLinkState, message: object
    ) -> None:
        """Send one message to a child."""
        self.write_frame(found, codec.encode(message, now=self._clock()))

    def write_frame(
        self, found: child_link_state.ChildLinkState, frame: bytes
    ) -> None:
        """Send one frame to a child."""
        self.link_bytes.count_sent(found.region, len(frame))
        found.link.send(frame)
        if self.uplink is not None:
            self.uplink.post(events.BytesSent(length=len(frame)))


def _count(children: Iterable[child_link_state.ChildLinkState]) -> int:
    return sum(entry.vector is not None for entry in children)


def _age_ms(confirmed_at: float, now: float) -> int | None:
    if confirmed_at == -math.inf:
        return None
    age = now - confirmed_at
    return max(0, math.ceil(age * _MS_PER_SECOND))


def _refusal(relay: Relay) -> messages.Records:
    # The children of this node may have a place, and a starting node may
    # know no other node than this one.
    known = {entry.instance for entry in relay.children.values()}
    others = tuple(
        entry for entry in relay.instances if entry.instance in known
    )
    return messages.Records(
        delta=replica.Delta(
            teams=(),
            instances=others,
            base=relay.held.vector,
            reached=relay.held.vector,
            digest=ids.Digest(b''),
        ),
    )


@functools.singledispatch
def _handle(message: object, relay: Relay) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _changed(message: events.ReplicaChanged, relay: Relay) -> None:
    relay.take_change(message)


@_handle.register
def _fresh(message: events.FreshnessConfirmed, relay: Relay) -> None:
    relay.confirmed_at = message.confirmed_at
    relay.list_confirmed_at = message.list_confirmed_at


@_handle.register
def _tick(message: events.Tick, relay: Relay) -> None:
    relay.check_time(message)


@_handle.register
def _delta(message: events.DeltaReady, relay: Relay) -> None:
    takers = [
        found
        for found in relay.children.values()
        if found.vector == message.delta.base
    ]
    for part in replica.split_delta(message.delta):
        records = messages.Records(delta=part)
        frame = codec.encode(records, now=relay.now())
        for found in takers:
            relay.write_frame(found, frame)
    for found in takers:
        found.vector = message.delta.reached


@_handle.register
def _heartbeat_due(message: events.HeartbeatDue, relay: Relay) -> None:
    found = relay.children.get(message.link)
    if found is not None:
        now = relay.now()
        heartbeat = messages.Heartbeat(
            nonce=message.nonce,
            age_ms=_age_ms(relay.confirmed_at, now),
            list_age_ms=_age_ms(relay.list_confirmed_at, now),
            vector=relay.held.vector,
            digest=relay.held.digest,
        )
        relay.write(found, heartbeat)


@functools.singledispatch
def _take(message: object, relay: Relay, number: ids.LinkId) -> None:
    relay.children[number].link.abort()


@_take.register
def _hello(
    message: messages.Hello,
    relay: Relay,
    number: ids.LinkId,
) -> None:
    relay.children[number].region = message.region
    relay.children[number].instance = message.instance


@_take.register
def _subscribe(
    message: messages.Subscribe,
    relay: Relay,
    number: ids.LinkId,
) -> None:
    relay.subscribe(relay.children[number], message.vector)


@_take.register
def _fetch_all(
    message: messages.FetchAll,
    relay: Relay,
    number: ids.LinkId,
) -> None:
    relay.subscribe(relay.children[number], replica.VersionVector())


@_take.register
def _probe(
    message: messages.Probe,
    relay: Relay,
    number: ids.LinkId,
) -> None:
    relay.request_delta(relay.children[number])
    # Queued behind the records, so that the child can rely on the
    # confirmation for what it holds by then.
    relay.post(events.HeartbeatDue(link=number, nonce=message.nonce))
