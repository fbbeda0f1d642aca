"""Task that finds out why the local backend server is not listed."""

import functools
from collections.abc import Callable

from twisted.internet import defer, interfaces

from medlarquay import events, ids, replica, snapshots, states
from medlarquay.tasks import alarm, listing_check, local_record, task

__all__ = ('LocalListing',)

_CHECK_INTERVAL_S = 1.0


class LocalListing(task.Task):
    """Keeps the local backend server in use while its machine is cut off.

    The entry of a backend server lapses when its machine cannot reach the
    source, and also when it leaves. Only a node that the source answers can
    tell these apart: if the entry is missing there, the backend server has
    left. A node without an answer is cut off itself, and so was the backend
    server beside it. Its own callers may go on using that, instead of
    crowding the backend servers that are still listed.

    Parameters
    ----------
    node : InstanceId
        Name in the greeting of this node.
    router : Task
        Receives ``LocalBackendKept``.
    owner : Task
        Receives ``LocalBackendRemoved``.
    source : ListingCheck or None
        Answers whether an instance is listed; None if only those that left
        are ever missing from the list.
    reactor : IReactorTime
        Schedules the checks.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        node: ids.InstanceId,
        router: task.Task,
        owner: task.Task,
        source: listing_check.ListingCheck | None,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='listing')
        self._node = node
        self._router = router
        self._owner = owner
        self._source = source
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._state = states.ListingState.ABSENT
        self._record: replica.InstanceRecord | None = None

    @property
    def state(self) -> states.ListingState:
        """What is known of the entry of the local backend server."""
        return self._state

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def apply(self, snapshot: snapshots.Snapshot) -> None:
        """Compare the entry of the local backend server with the last one."""
        record = local_record.find_local_record(snapshot, self._node)
        if record is None:
            if self._state is states.ListingState.LISTED:
                self._enter(states.ListingState.CHECKING)
                self.check()
        elif record.state is states.InstanceState.LIVE:
            self._record = record
            self._enter(states.ListingState.LISTED)
        else:
            self._enter(states.ListingState.ABSENT)

    def check(self) -> None:
        """Ask the source about the entry, if it is missing."""
        if self._record is None or self._state not in _MISSING:
            return
        if self._source is None:
            self._report_removed(self._record)
        else:
            defer.ensureDeferred(self._check(self._record, self._source))

    async def _check(
        self,
        record: replica.InstanceRecord,
        source: listing_check.ListingCheck,
    ) -> None:
        try:
            is_listed = await source.is_listed(record.instance)
        except Exception as failure:
            # Any failure leaves the question open.
            self._log.info('the source cannot be asked: {}', failure)
            answered = False
        else:
            answered = not is_listed
        if self._state not in _MISSING or self._record is not record:
            return
        if answered:
            self._report_removed(record)
        else:
            self._enter(states.ListingState.CUT_OFF)
            self._alarm.wake_at(self._clock() + _CHECK_INTERVAL_S)

    def _report_removed(self, record: replica.InstanceRecord) -> None:
        self._enter(states.ListingState.ABSENT)
        self._owner.post(events.LocalBackendRemoved(instance=record.instance))

    def _enter(self, state: states.ListingState) -> None:
        was_kept = self._state is states.ListingState.CUT_OFF
        is_kept = state is states.ListingState.CUT_OFF
        if state is not self._state:
            self._log.info('own backend server: {}', state.value)
        self._state = state
        if was_kept is not is_kept:
            kept = events.LocalBackendKept(
                record=self._record if is_kept else None
            )
            self._router.post(kept)


_MISSING = frozenset((
    states.ListingState.CHECKING,
    states.ListingState.CUT_OFF,
))


@functools.singledispatch
def _handle(message: object, listing: LocalListing) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _replaced(message: events.SnapshotReplaced, listing: LocalListing) -> None:
    listing.apply(message.snapshot)


@_handle.register
def _tick(message: events.Tick, listing: LocalListing) -> None:
    listing.check()
