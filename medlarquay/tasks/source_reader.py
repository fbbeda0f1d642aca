"""Task that reads the source."""

import functools
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
        reader.limiter.record_sent(now=self._clock())
        defer.ensureDeferred(self._read(reader))

    def check_time(self, tick: events.Tick) -> None:
        """Send the reads that are due."""
        for reader in self.readers.values():
            if reader.due_at is None:
                continue
            if tick.now >= reader.due_at:
                reader.machine.due()
            else:
                self._alarm.wake_at(reader.due_at)

    def handle_answer(
        self,
        reader: tree_reader.TreeReader,
        answer: events.DocumentsRead,
    ) -> None:
        """Pass an answer to the configuration and end the read."""
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
        reader.limiter.record_failure(now=self._clock())
        self._failing.add(reader.tree)
        self._report_reachable()
        reader.machine.ended()

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
                _milliseconds(previous_answer_at, answer.asked_at),
                _milliseconds(answer.asked_at, now),
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
        asked_at = self._clock()
        after = reader.held_revision
        isolated = self.mode is states.ReadingMode.ISOLATED
        try:
            answer = source_fetcher.parse_answer(
                await self._fetcher.fetch(
                    reader.tree,
                    after=after,
                    wait_ms=0 if isolated else _WATCH_WAIT_MS,
                ),
                tree=reader.tree,
                after=after,
                asked_at=asked_at,
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
