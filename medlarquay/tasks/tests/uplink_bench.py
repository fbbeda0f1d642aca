"""Test bench: call links to several ingresses over one machine's link."""

import dataclasses

from twisted.internet import testing

from medlarquay import (
    codec,
    events,
    ids,
    messages,
    pacing,
    telemetry,
    transport,
)
from medlarquay.tasks import peer_links, uplink
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import machine_link, memory_transport

__all__ = ('BYTES_PER_S', 'LARGE_BYTES', 'Ingress', 'UplinkBench')

#: Rate of the machine's link (3.5 Mbit/s).
BYTES_PER_S = 437_500
#: Length of the body of a large answer.
LARGE_BYTES = 90_000
_SOCKET_BYTES = 32_768


@dataclasses.dataclass(slots=True, kw_only=True)
class Ingress:
    """An ingress at the remote end of a call link.

    Attributes
    ----------
    number : LinkId
        Number of the link at the owner.
    near, far : Link
        Ends of the link at the owner and at the ingress.
    wire : SharedConnection
        Connection that carries the bytes from the owner to the ingress.
    arrived : dict of CallId to float
        Time of arrival of each result, seconds on the clock of the reactor.
    results : list of object
        Results in order of arrival.
    """

    number: ids.LinkId
    near: transport.Link
    far: transport.Link
    wire: machine_link.SharedConnection
    arrived: dict[ids.CallId, float] = dataclasses.field(default_factory=dict)
    results: list[object] = dataclasses.field(default_factory=list)


class UplinkBench:
    """An owner's call links to several ingresses over one machine's link."""

    def __init__(
        self,
        *,
        ingresses: int,
        bytes_per_s: float = BYTES_PER_S,
    ) -> None:
        self.reactor = testing.MemoryReactorClock()
        self.machine = machine_link.MachineLink(
            clock=self.reactor,
            bytes_per_s=BYTES_PER_S,
            socket_bytes=_SOCKET_BYTES,
        )
        self.owner = ingress_bench.Recorder()
        self.links = peer_links.PeerLinks(
            reactor=self.reactor,
            hello=messages.Hello(
                instance=ids.InstanceId('a0'),
                incarnation=ids.Incarnation('own'),
                region=ids.RegionName('north'),
                data_centre=ids.DataCentreName('a'),
            ),
            clock=self.reactor.seconds,
            counters=telemetry.Counters(),
            link_bytes_per_s=bytes_per_s,
        )
        self.uplink = uplink.Uplink(
            reactor=self.reactor,
            clock=self.reactor.seconds,
            bytes_per_s=bytes_per_s,
        )
        self.uplink.links = self.links
        self.uplink.owner = self.owner
        self.links.writer.uplink = self.uplink
        self.links.owner = self.owner
        self.ingresses = [
            self._add_ingress(link_index) for link_index in range(ingresses)
        ]
        self.run(0.1)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of 1 ms and transfer bytes."""
        for _ in range(round(seconds / 0.001)):
            self.machine.run(0.001)
            for ingress in self.ingresses:
                self._exchange(ingress)

    def answer(
        self,
        link_index: int,
        number: int,
        length: int,
        request_id: str = '',
        **urgency: object,
    ) -> None:
        """Send an answer of the owner to a call of one ingress."""
        answer = messages.CallAnswered(
            call_id=ids.CallId(number),
            status=200,
            headers=(),
            body=bytes(length),
        )
        self.links.post(
            events.SendReply(
                link=self.ingresses[link_index].number,
                message=answer,
                request_id=request_id,
                urgency=pacing.Urgency(**urgency),
            ),
        )

    def cancel(self, link_index: int, number: int) -> None:
        """Cancel a call of an ingress."""
        cancel = messages.CallCancel(call_id=ids.CallId(number))
        ingress = self.ingresses[link_index]
        ingress.far.send(codec.encode(cancel, now=self.reactor.seconds()))

    def _add_ingress(self, link_index: int) -> Ingress:
        near = transport.Link.accepting(
            opened=self.links.accept,
            received=self.links.receive_frame,
            closed=self.links.remove_incoming,
        )
        far = transport.Link.connecting(
            path=peer_links.CALL_PATH,
            opened=lambda link: None,
            received=lambda link, frame: self._record_arrival(
                link_index, frame
            ),
            closed=lambda link: None,
        )
        wire = machine_link.SharedConnection(link=self.machine)
        near.makeConnection(wire)
        far.makeConnection(memory_transport.MemoryTransport())
        ingress = Ingress(
            number=ids.LinkId(link_index + 1),
            near=near,
            far=far,
            wire=wire,
        )
        self._exchange(ingress)
        return ingress

    def _exchange(self, ingress: Ingress) -> None:
        sent = ingress.far.transport.value()
        ingress.far.transport.clear()
        if sent:
            ingress.near.dataReceived(sent)
        while ingress.wire.arrived:
            ingress.far.dataReceived(ingress.wire.arrived.popleft())

    def _record_arrival(self, link_index: int, frame: bytes) -> None:
        now = self.reactor.seconds()
        message = codec.decode(frame, now=now, peer='test')
        if not isinstance(message, messages.Hello):
            self.ingresses[link_index].arrived[message.call_id] = now
            self.ingresses[link_index].results.append(message)
