"""Task that reads the source."""

import functools
import math
import random
from collections.abc import Callable
from types import MappingProxyType

from twisted.internet import defer, interfaces

from medlarquay import events, replica, states, topology
from medlarquay.tasks import alarm, source_fetcher, task, tree_reader

__all__ = ('SourceReader',)

# How long the source may wait before it answers a watch. The age of a
# confirmation counts from the sending of the watch, so twice this wait and four
# levels of probes at intervals of 0.5 s stay below the bound of 5 s.
_WATCH_WAIT_MS = 1000
_MS_PER_SECOND = 1000
# An answer that takes this much longer than its wait is overdue, in seconds. The
# read may still succeed, but another node is followed meanwhile.
_OVERDUE_S = 0.6
# Number of reads of a tree that may be sent back to back. Documents are read
# at most once per period: in a storm of versions, a read for each of them would
# fill the link once more.
_BURSTS = MappingProxyType({
    replica.SourceTree.TEAMS: 1,
    replica.SourceTree.INSTANCES: topology.LIST_BURST,
})


class SourceReader(task.Task):
    """Reads the settings tree and the instance list from the source.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the reads.
    fetcher : SourceFetcher
        Reads the source.
    randomness : random.Random
        Source of the phase of a node without peers and of the jitter.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        fetcher: source_fetcher.SourceFetcher,
        randomness: random.Random,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='source')
        self.configuration: task.Task | None = None
        self.membership: task.Task | None = None
        self.mode = states.ReadingMode.NONE
        self.readers = {
            tree: tree_reader.TreeReader(
                tree=tree,
                limiter=topology.SourceLimiter(
                    randomness=randomness,
                    burst=_BURSTS[tree],
                ),
                owner=self,
            )
            for tree in replica.SourceTree
        }
        self._fetcher = fetcher
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._failing: set[replica.SourceTree] = set()
        self._reachable = True

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def apply_mode(self, mode: states.ReadingMode) -> None:
        """Start and stop the reads of each tree as the mode requires."""
        self.mode = mode
        for reader in self.readers.values():
            if self._should_read(reader):
                reader.machine.start(mode)
            else:
                reader.machine.stop()
                self._failing.discard(reader.tree)

    def schedule(self, reader: tree_reader.TreeReader) -> None:
        """Schedule the next read of one tree."""
        reader.due_at = reader.limiter.next_read(
            self.mode,
            now=self._clock(),
        )
        self._alarm.wake_at(reader.due_at)

    def read(self, reader: tree_reader.TreeReader) -> None:
        """Send a read of one tree."""
        now = self._clock()
        reader.limiter.record_sent(now=now)
        reader.overdue_at = now + self._wait_ms / _MS_PER_SECOND + _OVERDUE_S
        self._alarm.wake_at(reader.overdue_at)
        defer.ensureDeferred(self._read(reader))

    def check_time(self, tick: events.Tick) -> None:
        """Send the reads that are due and note those that are overdue."""
        for reader in self.readers.values():
            if reader.due_at <= tick.now:
                reader.machine.due()
            if reader.overdue_at <= tick.now:
                self._note_overdue(reader)
            next_check = reader.next_check(tick.now)
            if next_check < math.inf:
                self._alarm.wake_at(next_check)

    def handle_answer(
        self,
        reader: tree_reader.TreeReader,
        answer: events.DocumentsRead,
    ) -> None:
        """Pass an answer to the configuration and end the read."""
        reader.overdue_at = math.inf
        reader.limiter.record_success()
        self._log_answer(reader, answer)
        if self.configuration is not None:
            self.configuration.post(answer)
        self._failing.discard(reader.tree)
        self._report_reachable()
        reader.machine.ended()

    def handle_failure(
        self,
        reader: tree_reader.TreeReader,
        failure: Exception,
    ) -> None:
        """Log a failed read and back off before the next one."""
        self._log.warning(
            'read of {} failed: {}',
            reader.tree.value,
            failure,
        )
        reader.overdue_at = math.inf
        reader.limiter.record_failure(now=self._clock())
        self._failing.add(reader.tree)
        self._report_reachable()
        reader.machine.ended()

    @property
    def _wait_ms(self) -> int:
        """How long the source may wait before it answers a read."""
        return 0 if self.mode is states.ReadingMode.ISOLATED else _WATCH_WAIT_MS

    def _note_overdue(self, reader: tree_reader.TreeReader) -> None:
        reader.overdue_at = math.inf
        self._log.info('read of {} is overdue', reader.tree.value)
        self._failing.add(reader.tree)
        self._report_reachable()

    def _log_answer(
        self,
        reader: tree_reader.TreeReader,
        answer: events.DocumentsRead,
    ) -> None:
        """Log an answer with entries, its idle time and its duration."""
        previous_answer_at = reader.last_answer_at
        now = self._clock()
        reader.last_answer_at = now
        if answer.entries:
            self._log.info(
                'tree={} after={} revision={} entries={} idle_ms={} '
                'answer_ms={}',
                answer.tree.value,
                answer.after,
                answer.revision,
                len(answer.entries),
                _milliseconds(previous_answer_at, answer.requested_at),
                _milliseconds(answer.requested_at, now),
            )

    def _report_reachable(self) -> None:
        # The source counts as reachable only if the reads of both trees
        # succeed, because the documents need far more bandwidth than the
        # instance list.
        reachable = not self._failing
        if reachable is self._reachable:
            return
        self._reachable = reachable
        if self.membership is not None:
            self.membership.post(events.SourceChanged(reachable=reachable))

    def _should_read(self, reader: tree_reader.TreeReader) -> bool:
        if self.mode is states.ReadingMode.ISOLATED:
            # The instance list is enough to find peers, which hold the
            # documents.
            return reader.tree is replica.SourceTree.INSTANCES
        return self.mode is states.ReadingMode.READER

    async def _read(self, reader: tree_reader.TreeReader) -> None:
        requested_at = self._clock()
        after = reader.held_revision
        try:
            answer = source_fetcher.parse_answer(
                await self._fetcher.fetch(
                    reader.tree,
                    after=after,
                    wait_ms=self._wait_ms,
                ),
                tree=reader.tree,
                after=after,
                requested_at=requested_at,
            )
        except Exception as failure:
            # After any failure of the source the read is retried later.
            self.handle_failure(reader, failure)
        else:
            self.handle_answer(reader, answer)


def _milliseconds(since: float | None, until: float) -> str:
    if since is None:
        return '-'
    return f'{(until - since) * _MS_PER_SECOND:.0f}'


@functools.singledispatch
def _handle(message: object, source: SourceReader) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _chosen(message: events.ReadingChosen, source: SourceReader) -> None:
    source.apply_mode(message.mode)


@_handle.register
def _tick(message: events.Tick, source: SourceReader) -> None:
    source.check_time(message)


@_handle.register
def _changed(message: events.ReplicaChanged, source: SourceReader) -> None:
    vector = message.vector
    teams = source.readers[replica.SourceTree.TEAMS]
    instances = source.readers[replica.SourceTree.INSTANCES]
    teams.held_revision = vector.tree_revision
    instances.held_revision = vector.list_revision
