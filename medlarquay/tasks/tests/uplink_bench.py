"""An owner's call links to several ingresses over one machine's link."""

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

#: What the machine's link carries: 3.5 Mbit/s.
BYTES_PER_S = 437_500
#: Body of a large answer.
LARGE_BYTES = 90_000
_SOCKET_BYTES = 32_768


@dataclasses.dataclass(slots=True, kw_only=True)
class Ingress:
    """The far side of one call link.

    Attributes
    ----------
    number : LinkId
        Number of the link at the owner.
    near, far : Link
        Both ends.
    wire : SharedConnection
        Carries what the owner sends.
    arrived : dict of CallId to float
        Time of arrival of each result.
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
        self.ingresses = [self._join(place) for place in range(ingresses)]
        self.run(0.1)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / 0.001)):
            self.machine.run(0.001)
            for ingress in self.ingresses:
                self._exchange(ingress)

    def answer(
        self,
        place: int,
        number: int,
        length: int,
        request_id: str = '',
        **urgency: object,
    ) -> None:
        """Let the owner answer a call of one ingress."""
        answer = messages.CallAnswered(
            call_id=ids.CallId(number),
            status=200,
            headers=(),
            body=bytes(length),
        )
        self.links.post(
            events.SendReply(
                link=self.ingresses[place].number,
                message=answer,
                request_id=request_id,
                urgency=pacing.Urgency(**urgency),
            ),
        )

    def cancel(self, place: int, number: int) -> None:
        """Let an ingress cancel a call."""
        cancel = messages.CallCancel(call_id=ids.CallId(number))
        ingress = self.ingresses[place]
        ingress.far.send(codec.encode(cancel, now=self.reactor.seconds()))

    def _join(self, place: int) -> Ingress:
        near = transport.Link.accepting(
            opened=self.links.accept,
            received=self.links.receive_frame,
            closed=self.links.remove_incoming,
        )
        far = transport.Link.connecting(
            path=peer_links.CALL_PATH,
            opened=lambda link: None,
            received=lambda link, frame: self._arrive(place, frame),
            closed=lambda link: None,
        )
        wire = machine_link.SharedConnection(machine=self.machine)
        near.makeConnection(wire)
        far.makeConnection(memory_transport.MemoryTransport())
        joined = Ingress(
            number=ids.LinkId(place + 1),
            near=near,
            far=far,
            wire=wire,
        )
        self._exchange(joined)
        return joined

    def _exchange(self, ingress: Ingress) -> None:
        sent = ingress.far.transport.value()
        ingress.far.transport.clear()
        if sent:
            ingress.near.dataReceived(sent)
        while ingress.wire.arrived:
            ingress.far.dataReceived(ingress.wire.arrived.popleft())

    def _arrive(self, place: int, frame: bytes) -> None:
        now = self.reactor.seconds()
        message = codec.decode(frame, now=now, peer='test')
        if not isinstance(message, messages.Hello):
            self.ingresses[place].arrived[message.call_id] = now
            self.ingresses[place].results.append(message)
