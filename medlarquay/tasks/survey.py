"""Task that queries the versions of peers when the node starts."""

import functools
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
_NONCE = 1


class Survey(task.Task):
    """Queries the versions of peers and fetches newer records.

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
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        links: connector.Connector,
        hello: messages.Hello,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='survey')
        self.configuration: task.Task | None = None
        self.vector = replica.VersionVector()
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
            self._queries[peer.address] = query
            self._alarm.wake_at(deadline)
            self._links.open(
                peer,
                link_callbacks.LinkCallbacks(
                    opened=functools.partial(self._opened, query),
                    received=functools.partial(self._received, peer.address),
                    closed=functools.partial(self.finish, peer.address),
                ),
            )

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
        if query.vector is None:
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
        if self._queries:
            self._alarm.wake_at(
                min(entry.deadline for entry in self._queries.values()),
            )

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
