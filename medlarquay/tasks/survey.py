"""Task that queries the versions of peers when the node starts."""

import functools
import math
import random
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import codec, errors, events, ids, messages, replica, topology
from medlarquay.tasks import (
    alarm,
    connector,
    control_link,
    link_callbacks,
    task,
    version_query,
)

__all__ = ('Survey',)

_ANSWER_TIMEOUT_S = 1
# The parent usually delivers the records of a peer within this time, so the
# whole configuration is rarely sent twice.
_FETCH_DELAY_S = 1
_FETCH_TIMEOUT_S = 5
# A search for an accepted document asks this many peers, each for all records.
_SEARCHED_PEERS = 2
# Intervals between searches double. Where no node has an accepted document, the
# longest one bounds the bytes that all of them send.
_FIRST_SEARCH_S = 1
_LONGEST_SEARCH_S = 64
_NONCE = 1


class Survey(task.Task):
    """Queries the versions of peers and fetches newer records.

    As long as this node has rejected the newest version of a document and
    knows no accepted one, it also asks peers for all their records. A peer
    that was in service before this node started holds the accepted version.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules timeouts.
    links : Connector
        Opens the links.
    hello : Hello
        First message on each link.
    clock : callable
        Returns seconds on the monotonic clock.
    randomness : random.Random
        Chooses the peers of a search.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        links: connector.Connector,
        hello: messages.Hello,
        clock: Callable[[], float],
        randomness: random.Random,
    ) -> None:
        super().__init__(name='survey')
        self.configuration: task.Task | None = None
        self.vector = replica.VersionVector()
        self.instances: tuple[replica.InstanceRecord, ...] = ()
        self._randomness = randomness
        self._search_at = math.inf
        self._search_backoff = topology.Backoff(
            first=_FIRST_SEARCH_S,
            longest=_LONGEST_SEARCH_S,
            randomness=randomness,
        )
        self._queries: dict[str, version_query.VersionQuery] = {}
        self._links = links
        self._hello = hello
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def start(self, peers: tuple[topology.Peer, ...]) -> None:
        """Query the versions of peers."""
        deadline = self._clock() + _ANSWER_TIMEOUT_S
        for peer in peers:
            query = version_query.VersionQuery(deadline=deadline)
            self._open(peer, query)

    def report(
        self,
        address: str,
        vector: replica.VersionVector | None,
    ) -> None:
        """Report the version of a peer, or None, to the configuration."""
        if self.configuration is not None:
            self.configuration.post(
                events.PeerVersion(peer=address, vector=vector),
            )

    def finish(self, address: str) -> None:
        """End the query to a peer; report a failure if it has not answered."""
        query = self._queries.pop(address, None)
        if query is None:
            return
        if query.vector is None and not query.fetching:
            self.report(address, None)
        if query.link is not None:
            query.link.abort()

    def check_time(self, tick: events.Tick) -> None:
        """Fetch newer records from peers; give up peers that do not answer."""
        for address, query in tuple(self._queries.items()):
            if query.vector is not None and self.vector.covers(query.vector):
                self.finish(address)
            elif tick.now >= query.deadline:
                self._handle_timeout(address, query, tick.now)
        if tick.now >= self._search_at:
            self._search(tick.now)
        deadlines = [entry.deadline for entry in self._queries.values()]
        next_check = min((self._search_at, *deadlines))
        if next_check < math.inf:
            self._alarm.wake_at(next_check)

    def search(self, *, missing: bool) -> None:
        """Start or end the search for accepted documents."""
        if not missing:
            self._search_at = math.inf
            self._search_backoff.reset()
        elif math.isinf(self._search_at):
            self._search(self._clock())

    def record_answer(
        self, address: str, vector: replica.VersionVector
    ) -> None:
        """Record and report the version of a peer."""
        query = self._queries[address]
        if query.vector is not None:
            return
        query.vector = vector
        query.deadline = self._clock() + _FETCH_DELAY_S
        self._alarm.wake_at(query.deadline)
        self.report(address, vector)

    def end_search(self, address: str, message: messages.Records) -> None:
        """End the query of a search with the last part of its records."""
        query = self._queries.get(address)
        searching = query is not None and query.vector is None
        if searching and message.delta.digest:
            self.finish(address)

    def _search(self, now: float) -> None:
        self._search_at = now + self._search_backoff.next_delay()
        self._alarm.wake_at(self._search_at)
        peers = topology.Members(self.instances).peers
        others = [
            peer
            for peer in peers
            if peer.instance != self._hello.instance
            and peer.address not in self._queries
        ]
        count = min(_SEARCHED_PEERS, len(others))
        for peer in self._randomness.sample(others, count):
            query = version_query.VersionQuery(
                deadline=now + _FETCH_TIMEOUT_S,
                fetching=True,
            )
            self._open(peer, query)

    def _open(
        self,
        peer: topology.Peer,
        query: version_query.VersionQuery,
    ) -> None:
        self._queries[peer.address] = query
        self._alarm.wake_at(query.deadline)
        self._links.open(
            peer,
            link_callbacks.LinkCallbacks(
                opened=functools.partial(self._opened, query),
                received=functools.partial(self._received, peer.address),
                closed=functools.partial(self.finish, peer.address),
            ),
        )

    def _handle_timeout(
        self,
        address: str,
        query: version_query.VersionQuery,
        now: float,
    ) -> None:
        if query.vector is None or query.fetching:
            self.finish(address)
            return
        query.fetching = True
        query.deadline = now + _FETCH_TIMEOUT_S
        self._send(
            query,
            messages.Subscribe(vector=self.vector, digest=ids.Digest(b'')),
        )

    def _opened(
        self,
        query: version_query.VersionQuery,
        link: control_link.ControlLink,
    ) -> None:
        query.link = link
        self._send(query, self._hello)
        if query.fetching:
            self._send(query, messages.FetchAll())
        else:
            self._send(query, messages.Probe(nonce=_NONCE))

    def _send(self, query: version_query.VersionQuery, message: object) -> None:
        if query.link is not None:
            frame = codec.encode(message, now=self._clock())
            query.link.send(frame)

    def _received(self, address: str, frame: bytes) -> None:
        if address not in self._queries:
            return
        try:
            message = codec.decode(frame, now=self._clock(), peer=address)
        except errors.DecodeError as failure:
            self._log.warning('closed the control link to a peer: {}', failure)
            self.finish(address)
            return
        _handle_frame(message, self, address)


@functools.singledispatch
def _handle(message: object, survey: Survey) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _tick(message: events.Tick, survey: Survey) -> None:
    survey.check_time(message)


@_handle.register
def _changed(message: events.ReplicaChanged, survey: Survey) -> None:
    survey.vector = message.vector
    if message.instances is not None:
        survey.instances = message.instances


@_handle.register
def _rejections(message: events.RejectionsChanged, survey: Survey) -> None:
    survey.search(
        missing=any(not record.accepted_revision for record in message.records),
    )


@functools.singledispatch
def _handle_frame(message: object, survey: Survey, address: str) -> None:
    survey.finish(address)


@_handle_frame.register
def _heartbeat(
    message: messages.Heartbeat,
    survey: Survey,
    address: str,
) -> None:
    survey.record_answer(address, message.vector)


@_handle_frame.register
def _records(
    message: messages.Records,
    survey: Survey,
    address: str,
) -> None:
    if survey.configuration is not None:
        survey.configuration.post(
            events.RecordsReceived(peer=address, delta=message.delta),
        )
    survey.end_search(address, message)
