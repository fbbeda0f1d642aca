"""The task that owns the configuration of the node."""

import functools
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import (
    events,
    replica,
    states,
    telemetry,
)
from medlarquay.tasks import (
    alarm,
    received_change,
    snapshot_builder,
    task,
)

__all__ = ('Configuration',)

_CHECK_S = 0.5
#: A timer that fires this late means that the process was paused.
PAUSED_S = 1


class Configuration(task.Task):
    """Owns the replica, its freshness and the floor; builds the snapshot.

    Parameters
    ----------
    subscribers : tuple of Task
        Receive ``SnapshotReplaced``.
    freshness_subscribers : tuple of Task
        Receive ``FreshnessConfirmed``; its time is -inf after a pause, until
        the freshness was checked again.
    distribution : tuple of Task
        Receive ``ReplicaChanged``, also before the node may serve.
    floor : replica.Floor
        Rule by which a starting node may begin to serve.
    reactor : IReactorTime
        Schedules the checks.
    clock : callable
        Returns seconds on the monotonic clock.
    counters : Counters
        Counts conflicts, rejections and stale answers.
    """

    def __init__(
        self,
        *,
        subscribers: tuple[task.Task, ...],
        freshness_subscribers: tuple[task.Task, ...],
        floor: replica.Floor,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        counters: telemetry.Counters,
    ) -> None:
        super().__init__(name='configuration')
        self.replica = replica.Replica()
        self.freshness = replica.Freshness()
        self.list_freshness = replica.Freshness()
        self.floor = floor
        self.counters = counters
        self.distribution: tuple[task.Task, ...] = ()
        self.relay: task.Task | None = None
        self.read_at: dict[replica.SourceTree, float] = {}
        self._subscribers = subscribers
        self._freshness_subscribers = freshness_subscribers
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._builder = snapshot_builder.SnapshotBuilder()
        self._guard = replica.LapseGuard()
        # Whether the replica holds what the last snapshot does not.
        self._unpublished = False
        self._received: received_change.ReceivedChange | None = None

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def start(self) -> None:
        """Begin to check the freshness regularly."""
        self._alarm.wake_at(self._clock() + _CHECK_S)

    def check_time(self, tick: events.Tick) -> None:
        """Expire the freshness after a pause and ask for the next check."""
        if tick.lag_s > PAUSED_S:
            self._log.warning(
                'process was paused for {:.1f} s; freshness expired',
                tick.lag_s,
            )
            self.read_at.clear()
            self.freshness.expire(now=tick.now)
            self.list_freshness.expire(now=tick.now)
            self._tell_freshness()
        if self._builder.release(tick.now):
            self._unpublished = True
            self._received = self._received or received_change.ReceivedChange(
                origin=states.ChangeOrigin.HELD,
                received_at=tick.now,
                confirmed_at=self.freshness.confirmed_at,
            )
        self._publish_when_allowed()
        self._alarm.wake_at(tick.now + _CHECK_S)

    def take_change(
        self,
        change: replica.ApplyResult,
        received: received_change.ReceivedChange,
        wire_bytes: int,
    ) -> None:
        """Count what was not applied and pass on what was."""
        for note in change.events:
            self.counters.increment(note)
        for reason in change.rejections:
            self._log.warning('rejected a record: {}', reason)
        if not change.has_changes:
            return
        self._unpublished = True
        if self._received is not None:
            received.continue_after(self._received)
        received.add(change, wire_bytes)
        self._received = received
        self._builder.add(
            change,
            hold_until=self._guard.hold_until(
                now=self._clock(),
                confirmed_at=self.list_freshness.confirmed_at,
            ),
        )
        changed = events.ReplicaChanged(
            vector=self.replica.vector,
            digest=self.replica.digest,
            instances=self.replica.instances if change.instances else None,
        )
        for receiver in self.distribution:
            receiver.post(changed)
        self._publish_when_allowed()

    def confirm(self, *, confirmed_at: float, asked_at: float) -> None:
        """Take a confirmation by the source."""
        if self.freshness.confirm(
            confirmed_at=confirmed_at,
            asked_at=asked_at,
        ):
            self._publish_when_allowed()
            self._tell_freshness()

    def confirm_list(self, *, confirmed_at: float, asked_at: float) -> None:
        """Take a confirmation of the instance list."""
        if self.list_freshness.confirm(
            confirmed_at=confirmed_at,
            asked_at=asked_at,
        ):
            self._tell_freshness()

    def _tell_freshness(self) -> None:
        told = events.FreshnessConfirmed(
            confirmed_at=self.freshness.confirmed_at,
            list_confirmed_at=self.list_freshness.confirmed_at,
        )
        for subscriber in self._freshness_subscribers:
            subscriber.post(told)

    def _publish_when_allowed(self) -> None:
        if self._unpublished and self.floor.may_serve(
            held=self.replica.vector,
            confirmed_at=self.freshness.confirmed_at,
            now=self._clock(),
        ):
            self._unpublished = False
            self._publish()

    def _publish(self) -> None:
        snapshot = self._builder.build(self.replica)
        for subscriber in self._subscribers:
            subscriber.post(events.SnapshotReplaced(snapshot=snapshot))
        self._report_applied()

    def _report_applied(self) -> None:
        received = self._received
        if received is None:
            return
        self._received = None
        now = self._clock()
        received.measure(self.counters.histograms, now)
        self._log.info(received.describe(self.replica.vector, now))


@functools.singledispatch
def _handle(message: object, configuration: Configuration) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _tick(message: events.Tick, configuration: Configuration) -> None:
    configuration.check_time(message)


@_handle.register
def _read(message: events.DocumentsRead, configuration: Configuration) -> None:
    started_at = configuration.now()
    change = replica.apply_source(
        configuration.replica,
        tree=message.tree,
        after=message.after,
        revision=message.revision,
        entries=message.entries,
        whole=message.whole,
    )
    configuration.take_change(
        change,
        received_change.ReceivedChange(
            origin=states.ChangeOrigin.SOURCE,
            received_at=started_at,
            confirmed_at=message.asked_at,
        ),
        message.wire_bytes,
    )
    if states.ReplicaEvent.SOURCE_STALE in change.events:
        return
    if message.tree is replica.SourceTree.INSTANCES:
        configuration.confirm_list(
            confirmed_at=message.asked_at,
            asked_at=message.asked_at,
        )
    # Both trees have to be confirmed, so the older of the two reads counts.
    configuration.read_at[message.tree] = message.asked_at
    if len(configuration.read_at) == len(replica.SourceTree):
        oldest = min(configuration.read_at.values())
        configuration.confirm(confirmed_at=oldest, asked_at=oldest)


@_handle.register
def _records(
    message: events.RecordsReceived,
    configuration: Configuration,
) -> None:
    received_at = message.received_at
    if received_at is None:
        received_at = configuration.now()
    change = configuration.replica.apply_delta(message.delta)
    configuration.take_change(
        change,
        received_change.ReceivedChange(
            origin=states.ChangeOrigin.PEER,
            received_at=received_at,
            confirmed_at=configuration.freshness.confirmed_at,
        ),
        message.wire_bytes,
    )


@_handle.register
def _freshness(
    message: events.FreshnessReceived,
    configuration: Configuration,
) -> None:
    configuration.floor.record_answer(message.peer, message.vector)
    # The confirmations are about what the peer holds.
    held = configuration.replica.vector
    if held.list_revision >= message.vector.list_revision:
        configuration.confirm_list(
            confirmed_at=message.list_confirmed_at,
            asked_at=message.asked_at,
        )
    if held.covers(message.vector):
        configuration.confirm(
            confirmed_at=message.confirmed_at,
            asked_at=message.asked_at,
        )


@_handle.register
def _version(
    message: events.PeerVersion,
    configuration: Configuration,
) -> None:
    if message.vector is None:
        configuration.floor.record_failure(message.peer)
    else:
        configuration.floor.record_answer(message.peer, message.vector)


@_handle.register
def _delta_requested(
    message: events.DeltaRequested,
    configuration: Configuration,
) -> None:
    if configuration.relay is not None:
        configuration.relay.post(
            events.DeltaReady(
                delta=configuration.replica.delta_after(message.base),
            ),
        )
