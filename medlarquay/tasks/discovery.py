"""Task that finds other nodes when a node knows none."""

import functools
import math
import random
from collections.abc import Callable, Iterator

from twisted.internet import defer, interfaces

from medlarquay import events, ids, replica, states, topology
from medlarquay.tasks import (
    alarm,
    peer_discovery,
    source_fetcher,
    task,
    tree_reader,
)

__all__ = ('Discovery',)


class Discovery(task.Task):
    """Reads where other nodes are, until one of them can be followed.

    A node that starts gets the configuration and the instance list from its
    parent. If each node read them from the source, a start of all nodes would
    cost some calls and the whole list for each of them.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the reads.
    source : PeerDiscovery
        Reads some entries of the instance list.
    randomness : random.Random
        Source of jitter.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        source: peer_discovery.PeerDiscovery,
        randomness: random.Random,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='discovery')
        self.membership: task.Task | None = None
        self.reader = tree_reader.TreeReader(
            tree=replica.SourceTree.INSTANCES,
            limiter=topology.SourceLimiter(randomness=randomness),
            owner=self,
        )
        self._source = source
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def schedule(self, reader: tree_reader.TreeReader) -> None:
        """Schedule the next read."""
        reader.due_at = reader.limiter.next_read(
            states.ReadingMode.READER,
            now=self._clock(),
        )
        self._alarm.wake_at(reader.due_at)

    def read(self, reader: tree_reader.TreeReader) -> None:
        """Send a read."""
        reader.limiter.record_sent(now=self._clock())
        defer.ensureDeferred(self._read())

    def check_time(self, tick: events.Tick) -> None:
        """Send the read if it is due."""
        if self.reader.due_at <= tick.now:
            self.reader.machine.due()
        elif self.reader.due_at < math.inf:
            self._alarm.wake_at(self.reader.due_at)

    async def _read(self) -> None:
        requested_at = self._clock()
        try:
            answer = source_fetcher.parse_answer(
                await self._source.discover(),
                tree=replica.SourceTree.INSTANCES,
                after=ids.Revision(0),
                requested_at=requested_at,
            )
        except Exception as failure:
            # After any failure of the source the read is retried later.
            self._log.warning('no peers found: {}', failure)
            self.reader.limiter.record_failure(now=self._clock())
        else:
            self._handle_answer(answer)
        self.reader.machine.ended()

    def _handle_answer(self, answer: events.DocumentsRead) -> None:
        self.reader.limiter.record_success()
        instances = tuple(_parse_instances(answer))
        self._log.info('found {} instances', len(instances))
        if self.membership is not None:
            self.membership.post(events.PeersDiscovered(instances=instances))


def _parse_instances(
    answer: events.DocumentsRead,
) -> Iterator[replica.InstanceRecord]:
    for entry in answer.entries:
        record = replica.parse_listed(entry)
        if record is not None:
            yield record


@functools.singledispatch
def _handle(message: object, discovery: Discovery) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _chosen(message: events.ReadingChosen, discovery: Discovery) -> None:
    if message.mode is states.ReadingMode.DISCOVERING:
        discovery.reader.machine.start(message.mode)
    else:
        discovery.reader.machine.stop()


@_handle.register
def _tick(message: events.Tick, discovery: Discovery) -> None:
    discovery.check_time(message)
