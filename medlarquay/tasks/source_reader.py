"""The task that reads the configuration service."""

import functools
import random
from collections.abc import Callable
from types import MappingProxyType

from twisted.internet import defer, interfaces

from medlarquay import events, replica, states, topology
from medlarquay.tasks import alarm, source_fetcher, task, tree_reader

__all__ = ('SourceReader',)

# The age of a confirmation counts from the sending of the watch. Twice this
# wait and four levels of probes each 0.5 s stay below the bound of 5 s.
_WAIT_MS = 1000
_MS_PER_SECOND = 1000
# A read of the documents in a storm of versions would fill the link once
# more for each, so they keep to the period.
_BURSTS = MappingProxyType({
    replica.SourceTree.TEAMS: 1,
    replica.SourceTree.INSTANCES: topology.LIST_BURST,
})


class SourceReader(task.Task):
    """Owns the watches on the settings tree and the instance list.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the reads.
    fetcher : SourceFetcher
        Reads the source.
    randomness : random.Random
        Gives the phase of a node without peers and the jitter.
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

    def choose(self, mode: states.ReadingMode) -> None:
        """Read both trees, the list only, or nothing."""
        self.mode = mode
        for reader in self.readers.values():
            if self._is_read(reader):
                reader.machine.choose(mode)
            else:
                reader.machine.stop()
                self._failing.discard(reader.tree)

    def plan(self, reader: tree_reader.TreeReader) -> None:
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

    def finish(
        self,
        reader: tree_reader.TreeReader,
        answer: events.DocumentsRead,
    ) -> None:
        """Pass an answer on."""
        reader.limiter.record_success()
        self._report(reader, answer)
        if self.configuration is not None:
            self.configuration.post(answer)
        self._failing.discard(reader.tree)
        self._tell_reachable()
        reader.machine.ended()

    def fail(
        self,
        reader: tree_reader.TreeReader,
        failure: Exception,
    ) -> None:
        """Wait before the next read."""
        self._log.warning(
            'read of {} failed: {}',
            reader.tree.value,
            failure,
        )
        reader.limiter.record_failure(now=self._clock())
        self._failing.add(reader.tree)
        self._tell_reachable()
        reader.machine.ended()

    def _report(
        self,
        reader: tree_reader.TreeReader,
        answer: events.DocumentsRead,
    ) -> None:
        """Log an answer that brought something, with where its time went."""
        ended_at = reader.ended_at
        now = self._clock()
        reader.ended_at = now
        if answer.entries:
            self._log.info(
                'tree={} after={} revision={} entries={} idle_ms={} '
                'answer_ms={}',
                answer.tree.value,
                answer.after,
                answer.revision,
                len(answer.entries),
                _milliseconds(ended_at, answer.asked_at),
                _milliseconds(answer.asked_at, now),
            )

    def _tell_reachable(self) -> None:
        # The documents need far more of the link than the instance list.
        reachable = not self._failing
        if reachable is self._reachable:
            return
        self._reachable = reachable
        if self.membership is not None:
            self.membership.post(events.SourceChanged(reachable=reachable))

    def _is_read(self, reader: tree_reader.TreeReader) -> bool:
        if self.mode is states.ReadingMode.ISOLATED:
            # The list alone leads to the peers, which hold the documents.
            return reader.tree is replica.SourceTree.INSTANCES
        return self.mode is states.ReadingMode.READER

    async def _read(self, reader: tree_reader.TreeReader) -> None:
        asked_at = self._clock()
        after = reader.held
        isolated = self.mode is states.ReadingMode.ISOLATED
        try:
            answer = source_fetcher.parse_answer(
                await self._fetcher.fetch(
                    reader.tree,
                    after=after,
                    wait_ms=0 if isolated else _WAIT_MS,
                ),
                tree=reader.tree,
                after=after,
                asked_at=asked_at,
            )
        except Exception as failure:
            # Any failure of the source is answered alike: read again later.
            self.fail(reader, failure)
        else:
            self.finish(reader, answer)


def _milliseconds(since: float | None, until: float) -> str:
    if since is None:
        return '-'
    return f'{(until - since) * _MS_PER_SECOND:.0f}'


@functools.singledispatch
def _handle(message: object, source: SourceReader) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _chosen(message: events.ReadingChosen, source: SourceReader) -> None:
    source.choose(message.mode)


@_handle.register
def _tick(message: events.Tick, source: SourceReader) -> None:
    source.check_time(message)


@_handle.register
def _changed(message: events.ReplicaChanged, source: SourceReader) -> None:
    vector = message.vector
    teams = source.readers[replica.SourceTree.TEAMS]
    instances = source.readers[replica.SourceTree.INSTANCES]
    teams.held = vector.tree_revision
    instances.held = vector.list_revision
