"""Task that owns the configuration of this node."""

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

_CHECK_INTERVAL_S = 0.5
#: A timer that fires later than this, in seconds, shows that the process was
#: paused.
PAUSE_THRESHOLD_S = 1


class Configuration(task.Task):
    """Applies changes to the replica and publishes snapshots of it.

    Owns the replica, its freshness and the floor.

    Parameters
    ----------
    subscribers : tuple of Task
        Receive ``SnapshotReplaced``.
    freshness_subscribers : tuple of Task
        Receive ``FreshnessConfirmed``; its times are -inf after a pause of
        the process, until the next confirmation.
    floor : replica.Floor
        Lowest version that a starting node may serve.
    reactor : IReactorTime
        Schedules the regular checks.
    clock : callable
        Returns seconds on the monotonic clock.
    counters : Counters
        Counts conflicts, rejections and stale answers.

    Attributes
    ----------
    distribution : tuple of Task
        Receive ``ReplicaChanged``, also before the node may serve.
    relay : Task or None
        Receives ``DeltaReady``.
    rejection_subscribers : tuple of Task
        Receive ``RejectionsChanged``.
    read_at : dict of SourceTree to float
        When the latest read of each tree was sent, seconds on the monotonic
        clock; empty after a pause of the process.
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
        self.rejection_subscribers: tuple[task.Task, ...] = ()
        self.read_at: dict[replica.SourceTree, float] = {}
        self._subscribers = subscribers
        self._freshness_subscribers = freshness_subscribers
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._builder = snapshot_builder.SnapshotBuilder()
        self._lapse_guard = replica.LapseGuard()
        # Whether the replica has changes that no snapshot was published for.
        self._unpublished = False
        self._unreported: received_change.ReceivedChange | None = None
        self._rejected: tuple[replica.TeamRecord, ...] = ()

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock()

    def start(self) -> None:
        """Start the regular checks."""
        self._alarm.wake_at(self._clock() + _CHECK_INTERVAL_S)

    def check_time(self, tick: events.Tick) -> None:
        """Detect a pause, release held removals, schedule the next check."""
        if tick.lag_s > PAUSE_THRESHOLD_S:
            self._log.warning(
                'process was paused for {:.1f} s; freshness expired',
                tick.lag_s,
            )
            self.read_at.clear()
            self.freshness.expire(now=tick.now)
            self.list_freshness.expire(now=tick.now)
            self._report_freshness()
        if self._builder.release(tick.now):
            self._unpublished = True
            self._unreported = (
                self._unreported
                or received_change.ReceivedChange(
                    origin=states.ChangeOrigin.HELD,
                    received_at=tick.now,
                    confirmed_at=self.freshness.confirmed_at,
                )
            )
        self._publish_when_allowed()
        self._alarm.wake_at(tick.now + _CHECK_INTERVAL_S)

    def handle_result(
        self,
        result: replica.ApplyResult,
        received: received_change.ReceivedChange,
        wire_bytes: int,
    ) -> None:
        """Publish the applied changes; count and log what was not applied.

        Parameters
        ----------
        result : replica.ApplyResult
            Result of applying an answer of the source or a delta.
        received : received_change.ReceivedChange
            Origin and times of the message, for the log.
        wire_bytes : int
            Length of the message.
        """
        for event in result.events:
            self.counters.increment(event)
        for reason in result.rejections:
            self._log.warning('rejected a record: {}', reason)
        if not result.has_changes:
            return
        if result.teams:
            self._report_rejections()
        self._unpublished = True
        if self._unreported is not None:
            received.merge_earlier(self._unreported)
        received.add(result, wire_bytes)
        self._unreported = received
        self._builder.add(
            result,
            hold_until=self._lapse_guard.hold_until(
                now=self._clock(),
                confirmed_at=self.list_freshness.confirmed_at,
            ),
        )
        change = events.ReplicaChanged(
            vector=self.replica.vector,
            digest=self.replica.digest,
            instances=self.replica.instances if result.instances else None,
        )
        for subscriber in self.distribution:
            subscriber.post(change)
        self._publish_when_allowed()

    def confirm(self, *, confirmed_at: float, requested_at: float) -> None:
        """Record a confirmation of both trees by the source."""
        if self.freshness.confirm(
            confirmed_at=confirmed_at,
            requested_at=requested_at,
        ):
            self._publish_when_allowed()
            self._report_freshness()

    def confirm_list(self, *, confirmed_at: float, requested_at: float) -> None:
        """Record a confirmation of the instance list by the source."""
        if self.list_freshness.confirm(
            confirmed_at=confirmed_at,
            requested_at=requested_at,
        ):
            self._report_freshness()

    def _report_rejections(self) -> None:
        rejected = tuple(
            record for record in self.replica.teams if record.rejection
        )
        if rejected == self._rejected:
            return
        self._rejected = rejected
        self.counters.set_gauge(
            states.NodeGauge.DOCUMENTS_REJECTED, len(rejected)
        )
        for subscriber in self.rejection_subscribers:
            subscriber.post(events.RejectionsChanged(records=rejected))

    def _report_freshness(self) -> None:
        confirmation = events.FreshnessConfirmed(
            confirmed_at=self.freshness.confirmed_at,
            list_confirmed_at=self.list_freshness.confirmed_at,
        )
        for subscriber in self._freshness_subscribers:
            subscriber.post(confirmation)

    def _publish_when_allowed(self) -> None:
        if self._unpublished and self.floor.may_serve(
            held=self.replica.vector,
            has_document=self.replica.has_document,
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
        change = self._unreported
        if change is None:
            return
        self._unreported = None
        now = self._clock()
        change.observe(self.counters.histograms, now)
        self._log.info(change.describe(self.replica.vector, now))


@functools.singledispatch
def _handle(message: object, configuration: Configuration) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _tick(message: events.Tick, configuration: Configuration) -> None:
    configuration.check_time(message)


@_handle.register
def _read(message: events.DocumentsRead, configuration: Configuration) -> None:
    started_at = configuration.now()
    result = replica.apply_source(
        configuration.replica,
        tree=message.tree,
        after=message.after,
        revision=message.revision,
        entries=message.entries,
        whole=message.whole,
    )
    configuration.handle_result(
        result,
        received_change.ReceivedChange(
            origin=states.ChangeOrigin.SOURCE,
            received_at=started_at,
            confirmed_at=message.requested_at,
        ),
        message.wire_bytes,
    )
    if states.ReplicaEvent.SOURCE_STALE in result.events:
        return
    if message.tree is replica.SourceTree.INSTANCES:
        configuration.confirm_list(
            confirmed_at=message.requested_at,
            requested_at=message.requested_at,
        )
    # A confirmation covers both trees, so the older of their reads dates it.
    configuration.read_at[message.tree] = message.requested_at
    if len(configuration.read_at) == len(replica.SourceTree):
        oldest = min(configuration.read_at.values())
        configuration.confirm(confirmed_at=oldest, requested_at=oldest)


@_handle.register
def _records(
    message: events.RecordsReceived,
    configuration: Configuration,
) -> None:
    received_at = message.received_at
    if received_at is None:
        received_at = configuration.now()
    result = configuration.replica.apply_delta(message.delta)
    configuration.handle_result(
        result,
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
    # The confirmations are for the version of the peer, so they hold for this
    # node only if its own version covers that.
    local_vector = configuration.replica.vector
    if local_vector.list_revision >= message.vector.list_revision:
        configuration.confirm_list(
            confirmed_at=message.list_confirmed_at,
            requested_at=message.requested_at,
        )
    if local_vector.covers(message.vector):
        configuration.confirm(
            confirmed_at=message.confirmed_at,
            requested_at=message.requested_at,
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
