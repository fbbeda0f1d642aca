"""The task that asks peers for their versions at the start."""

import functools
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import codec, errors, events, ids, messages, replica, topology
from medlarquay.tasks import (
    alarm,
    connector,
    control_link,
    link_watcher,
    task,
    version_query,
)

__all__ = ('Survey',)

_ANSWER_S = 1
# The parent usually delivers what a peer holds within this time, so the
# whole configuration is rarely sent twice.
_FETCH_AFTER_S = 1
_FETCH_S = 5
_NONCE = 1


class Survey(task.Task):
    """Asks peers for their versions and fetches what is newer.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules deadlines.
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
        self._open: dict[str, version_query.VersionQuery] = {}
        self._links = links
        self._hello = hello
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def start(self, peers: tuple[topology.Peer, ...]) -> None:
        """Ask peers for their versions."""
        deadline = self._clock() + _ANSWER_S
        for peer in peers:
            asked = version_query.VersionQuery(deadline=deadline)
            self._open[peer.address] = asked
            self._alarm.wake_at(deadline)
            self._links.open(
                peer,
                link_watcher.LinkWatcher(
                    opened=functools.partial(self._opened, asked),
                    received=functools.partial(self._received, peer.address),
                    closed=functools.partial(self.finish, peer.address),
                ),
            )

    def report(
        self,
        address: str,
        vector: replica.VersionVector | None,
    ) -> None:
        """Tell the configuration what a peer holds."""
        if self.configuration is not None:
            self.configuration.post(
                events.PeerVersion(peer=address, vector=vector),
            )

    def finish(self, address: str) -> None:
        """Close the link to a peer."""
        asked = self._open.pop(address, None)
        if asked is None:
            return
        if asked.vector is None:
            self.report(address, None)
        if asked.link is not None:
            asked.link.abort()

    def check_time(self, tick: events.Tick) -> None:
        """Fetch what is newer at a peer; give up peers that do not answer."""
        for address, asked in tuple(self._open.items()):
            if asked.vector is not None and self.vector.covers(asked.vector):
                self.finish(address)
            elif tick.now >= asked.deadline:
                self._pass_deadline(address, asked, tick.now)
        if self._open:
            self._alarm.wake_at(
                min(entry.deadline for entry in self._open.values()),
            )

    def take_answer(self, address: str, vector: replica.VersionVector) -> None:
        """Note what a peer holds."""
        asked = self._open[address]
        if asked.vector is not None:
            return
        asked.vector = vector
        asked.deadline = self._clock() + _FETCH_AFTER_S
        self._alarm.wake_at(asked.deadline)
        self.report(address, vector)

    def _pass_deadline(
        self,
        address: str,
        asked: version_query.VersionQuery,
        now: float,
    ) -> None:
        if asked.vector is None or asked.fetching:
            self.finish(address)
            return
        asked.fetching = True
        asked.deadline = now + _FETCH_S
        self._send(
            asked,
            messages.Subscribe(vector=self.vector, digest=ids.Digest(b'')),
        )

    def _opened(
        self,
        asked: version_query.VersionQuery,
        link: control_link.ControlLink,
    ) -> None:
        asked.link = link
        self._send(asked, self._hello)
        self._send(asked, messages.Probe(nonce=_NONCE))

    def _send(self, asked: version_query.VersionQuery, message: object) -> None:
        if asked.link is not None:
            frame = codec.encode(message, now=self._clock())
            asked.link.send(frame)

    def _received(self, address: str, frame: bytes) -> None:
        if address not in self._open:
            return
        try:
            message = codec.decode(frame, now=self._clock(), peer=address)
        except errors.DecodeError as failure:
            self._log.warning('closed a link: {}', failure)
            self.finish(address)
            return
        _take(message, self, address)


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
def _take(message: object, survey: Survey, address: str) -> None:
    survey.finish(address)


@_take.register
def _heartbeat(
    message: messages.Heartbeat,
    survey: Survey,
    address: str,
) -> None:
    survey.take_answer(address, message.vector)


@_take.register
def _records(
    message: messages.Records,
    survey: Survey,
    address: str,
) -> None:
    if survey.configuration is not None:
        survey.configuration.post(
            events.RecordsReceived(peer=address, delta=message.delta),
        )
