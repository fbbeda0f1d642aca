"""Model of answers on links that fill and drain, close, cancel and expire."""

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

#: Rate of the machine's link (3.5 Mbit/s).
BYTES_PER_S = 437_500
_SOCKET_BYTES = 16_384
_STEP_S = 0.005
_DELIVERY = re.compile(r'request=(\d+) delivery=(\w+)')


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """An answer that the owner has passed to its links.

    Attributes
    ----------
    number : CallId
        Number of the answered call.
    link_index : int
        Index of the link on which it is sent.
    length : int
        Length of its body, bytes.
    cancelled : bool
        Whether the ingress cancelled the call.
    """

    number: ids.CallId
    link_index: int
    length: int
    cancelled: bool = False


class _Ingress:
    """The ingress at the remote end of a link."""

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
        """Deliver the bytes that the ingress has sent to the owner."""
        sent = self.link.transport.value()
        self.link.transport.clear()
        if sent and not self.closed:
            self.near.dataReceived(sent)

    def read(self, max_bytes: int) -> None:
        """Read at most some bytes from the link."""
        received = b'' if self.closed else self.wire.read(max_bytes)
        if received:
            self.link.dataReceived(received)

    def _receive(self, frame: bytes) -> None:
        message = codec.decode(frame, now=0, peer='test')
        if not isinstance(message, messages.Hello):
            self.results.append(message)


class UplinkModel:
    """An owner's call links, with the result of each of its answers.

    Parameters
    ----------
    links : int
        Number of ingresses.
    bytes_per_s : float
        Rate of the machine's network link that the tasks are configured with;
        infinite if unknown.
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
        self._ingresses = [self._add_ingress() for _ in range(links)]

    @property
    def waiting_frames(self) -> int:
        """Number of large frames that wait for the machine's link."""
        return len(self.uplink.schedule)

    def answer(
        self,
        link_index: int,
        length: int,
        rank: states.Rank,
        due: float,
        deadline: float,
    ) -> None:
        """Answer a new call; ``due`` and ``deadline`` are seconds from now."""
        now = self._reactor.seconds()
        number = ids.CallId(len(self.answers))
        self.answers.append(
            Answer(number=number, link_index=link_index, length=length)
        )
        reply = events.SendReply(
            link=ids.LinkId(link_index + 1),
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
        """Cancel the call of an earlier answer, chosen modulo their number."""
        if not self.answers:
            return
        answer = self.answers[chosen % len(self.answers)]
        answer.cancelled = True
        ingress = self._ingresses[answer.link_index]
        with self.log.applicationbound():
            ingress.link.send(
                codec.encode(
                    messages.CallCancel(call_id=answer.number),
                    now=0,
                ),
            )
            ingress.flush()

    def read(self, link_index: int, max_bytes: int) -> None:
        """Read from a link at its ingress."""
        with self.log.applicationbound():
            self._ingresses[link_index].read(max_bytes)

    def close(self, link_index: int) -> None:
        """Close a link by a lost connection."""
        ingress = self._ingresses[link_index]
        if not ingress.closed:
            ingress.closed = True
            with self.log.applicationbound():
                ingress.near.connectionLost()

    def run(self, seconds: float, *, reading: set[int]) -> None:
        """Advance the clock while some ingresses read all that arrives."""
        for _ in range(round(seconds / _STEP_S)):
            with self.log.applicationbound():
                self._reactor.advance(_STEP_S)
            for link_index in reading:
                self.read(link_index, _SOCKET_BYTES)

    def deliveries(self) -> dict[int, list[str]]:
        """Return the logged deliveries of each answer, by call number."""
        deliveries = collections.defaultdict(list)
        for record in self.log.records:
            for number, delivery in _DELIVERY.findall(record.message):
                deliveries[int(number)].append(delivery)
        return deliveries

    def results(self, answer: Answer) -> list[object]:
        """Return the results of a call that reached its ingress."""
        return [
            result
            for result in self._ingresses[answer.link_index].results
            if result.call_id == answer.number
        ]

    def closed(self, answer: Answer) -> bool:
        """Return whether the link of an answer was closed."""
        return self._ingresses[answer.link_index].closed

    def failures(self) -> list[str]:
        """Return the logged errors of failed message handlers."""
        return [
            record.formatted_exception or record.message
            for record in self.log.records
            if record.level >= logbook.ERROR
        ]

    def _add_ingress(self) -> _Ingress:
        return _Ingress(
            transport.Link.accepting(
                opened=self.links.accept,
                received=self.links.receive_frame,
                closed=self.links.remove_incoming,
            ),
        )
