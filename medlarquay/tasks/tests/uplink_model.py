"""Answers on links that fill, drain, close, cancel and expire."""

import collections
import dataclasses
import re

import logbook
from twisted.internet import testing

from medlarquay import (
    codec,
    events,
    ids,
    messages,
    pacing,
    states,
    telemetry,
    transport,
)
from medlarquay.tasks import peer_links, uplink
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import filling_connection, memory_transport

__all__ = ('BYTES_PER_S', 'Answer', 'UplinkModel')

#: What the machine's link carries: 3.5 Mbit/s.
BYTES_PER_S = 437_500
_SOCKET_BYTES = 16_384
_STEP_S = 0.005
_DELIVERY = re.compile(r'request=(\d+) delivery=(\w+)')


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """An answer that the owner gave to its links.

    Attributes
    ----------
    number : CallId
        Call.
    place : int
        Link.
    length : int
        Length of its body.
    cancelled : bool
        Whether the ingress cancelled the call.
    """

    number: ids.CallId
    place: int
    length: int
    cancelled: bool = False


class _Far:
    """The ingress at the other end of a link."""

    def __init__(self, near: transport.Link) -> None:
        self.near = near
        self.results: list[object] = []
        self.closed = False
        self.wire = filling_connection.FillingConnection(
            socket_bytes=_SOCKET_BYTES,
        )
        self.link = transport.Link.connecting(
            path=peer_links.CALL_PATH,
            opened=lambda link: None,
            received=lambda link, frame: self._receive(frame),
            closed=lambda link: None,
        )
        near.makeConnection(self.wire)
        self.link.makeConnection(memory_transport.MemoryTransport())
        for _ in range(2):
            self.flush()
            self.read(_SOCKET_BYTES)

    def flush(self) -> None:
        """Carry what the ingress has sent."""
        sent = self.link.transport.value()
        self.link.transport.clear()
        if sent and not self.closed:
            self.near.dataReceived(sent)

    def read(self, most_bytes: int) -> None:
        """Read from the link."""
        found = b'' if self.closed else self.wire.read(most_bytes)
        if found:
            self.link.dataReceived(found)

    def _receive(self, frame: bytes) -> None:
        message = codec.decode(frame, now=0, peer='test')
        if not isinstance(message, messages.Hello):
            self.results.append(message)


class UplinkModel:
    """An owner's call links, and what became of each of its answers.

    Parameters
    ----------
    links : int
        Number of ingresses.
    bytes_per_s : float
        What the link of the machine carries.
    """

    def __init__(self, *, links: int, bytes_per_s: float) -> None:
        self.answers: list[Answer] = []
        self.log = logbook.TestHandler()
        self._reactor = testing.MemoryReactorClock()
        self.links = peer_links.PeerLinks(
            reactor=self._reactor,
            hello=messages.Hello(
                instance=ids.InstanceId('a0'),
                incarnation=ids.Incarnation('own'),
                region=ids.RegionName('north'),
                data_centre=ids.DataCentreName('a'),
            ),
            clock=self._reactor.seconds,
            counters=telemetry.Counters(),
            link_bytes_per_s=bytes_per_s,
        )
        self.uplink = uplink.Uplink(
            reactor=self._reactor,
            clock=self._reactor.seconds,
            bytes_per_s=bytes_per_s,
        )
        self.uplink.links = self.links
        self.links.writer.uplink = self.uplink
        self.links.owner = ingress_bench.Recorder()
        self._fars = [self._join() for _ in range(links)]

    @property
    def paced(self) -> int:
        """Frames that wait for the link of the machine."""
        return len(self.uplink.schedule)

    def answer(
        self,
        place: int,
        length: int,
        rank: states.Rank,
        due: float,
        deadline: float,
    ) -> None:
        """Answer a call; the times are seconds from now."""
        now = self._reactor.seconds()
        number = ids.CallId(len(self.answers))
        self.answers.append(Answer(number=number, place=place, length=length))
        reply = events.SendReply(
            link=ids.LinkId(place + 1),
            message=messages.CallAnswered(
                call_id=number,
                status=200,
                headers=(),
                body=b'%d' % (number % 10) * length,
            ),
            request_id=str(number),
            urgency=pacing.Urgency(
                rank=rank,
                due=now + due,
                deadline=now + deadline,
            ),
        )
        with self.log.applicationbound():
            self.links.post(reply)

    def cancel(self, chosen: int) -> None:
        """Let an ingress cancel a call."""
        if not self.answers:
            return
        answer = self.answers[chosen % len(self.answers)]
        answer.cancelled = True
        far = self._fars[answer.place]
        with self.log.applicationbound():
            far.link.send(
                codec.encode(
                    messages.CallCancel(call_id=answer.number),
                    now=0,
                ),
            )
            far.flush()

    def read(self, place: int, most_bytes: int) -> None:
        """Let an ingress read from its link."""
        with self.log.applicationbound():
            self._fars[place].read(most_bytes)

    def close(self, place: int) -> None:
        """Let a link be lost."""
        far = self._fars[place]
        if not far.closed:
            far.closed = True
            with self.log.applicationbound():
                far.near.connectionLost()

    def run(self, seconds: float, *, reading: set[int]) -> None:
        """Let time pass in which some ingresses read all that arrives."""
        for _ in range(round(seconds / _STEP_S)):
            with self.log.applicationbound():
                self._reactor.advance(_STEP_S)
            for place in reading:
                self.read(place, _SOCKET_BYTES)

    def reports(self) -> dict[int, list[str]]:
        """Return how the way of each answer ended, as logged."""
        found = collections.defaultdict(list)
        for record in self.log.records:
            for number, delivery in _DELIVERY.findall(record.message):
                found[int(number)].append(delivery)
        return found

    def results(self, answer: Answer) -> list[object]:
        """Return what reached the ingress for a call."""
        return [
            result
            for result in self._fars[answer.place].results
            if result.call_id == answer.number
        ]

    def closed(self, answer: Answer) -> bool:
        """Tell whether the link of an answer was lost."""
        return self._fars[answer.place].closed

    def failures(self) -> list[str]:
        """Return the lines of handlers that failed."""
        return [
            record.formatted_exception or record.message
            for record in self.log.records
            if record.level >= logbook.ERROR
        ]

    def _join(self) -> _Far:
        return _Far(
            transport.Link.accepting(
                opened=self.links.accept,
                received=self.links.receive_frame,
                closed=self.links.remove_incoming,
            ),
        )
