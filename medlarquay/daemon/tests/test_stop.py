"""A node that is asked to stop: what its callers and its peers still get."""

import os

import pytest
from twisted.internet import error, testing
from twisted.python import failure

from medlarquay import (
    codec,
    events,
    ids,
    ingress,
    messages,
    states,
    transport,
)
from medlarquay.daemon import lifecycle, stop_pace
from medlarquay.tasks import caller_listener, peer_links, uplink
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import memory_transport

_DRAIN_S = 5.5
_LINGER_S = 2.3
_FLUSH_S = 0.3
# A large answer takes most of the time between SIGTERM and the stop.
_LINK_BYTES_PER_S = 25_000
_ANSWER_BY_S = _DRAIN_S - _FLUSH_S
_STEP_S = 0.01
_DONE = failure.Failure(error.ConnectionDone())
_REQUEST = b'%s /x HTTP/1.1\r\nHost: desk.team\r\nContent-Length: 0\r\n\r\n'


class _Reactor(testing.MemoryReactorClock):
    """Reactor in memory that notes when it was stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.stopped_at: float | None = None

    def stop(self) -> None:
        """Note the time."""
        super().stop()
        self.stopped_at = self.seconds()


class _Node:
    """The parts of a node that hold callers and peers while it stops."""

    def __init__(self) -> None:
        self.bench = ingress_bench.IngressBench(
            ingress_bench.backend('a1'),
            ingress_bench.backend('a2'),
            ingress_bench.backend('b1'),
            timeout_ms=60_000,
        )
        # Every part reads the clock of the router.
        self.clock = self.bench.clock
        self.reactor = _Reactor()
        self.callers = caller_listener.CallerListener(
            router=self.bench.router,
            reactor=self.clock,
            clock=self.clock.seconds,
            histograms=self.bench.counters.histograms,
        )
        self.callers.connections.listen(
            self.reactor,
            host='127.0.0.1',
            port=80,
        )
        self.links = peer_links.PeerLinks(
            reactor=self.reactor,
            hello=messages.Hello(
                instance=ids.InstanceId('a0'),
                incarnation=ids.Incarnation('own'),
                region=ids.RegionName('north'),
                data_centre=ids.DataCentreName('a'),
            ),
            clock=self.clock.seconds,
            counters=self.bench.counters,
            link_bytes_per_s=_LINK_BYTES_PER_S,
        )
        self.uplink = uplink.Uplink(
            reactor=self.clock,
            clock=self.clock.seconds,
            bytes_per_s=_LINK_BYTES_PER_S,
        )
        self.uplink.links = self.links
        self.links.writer.uplink = self.uplink
        self.links.router = self.bench.router
        self.links.owner = self.bench.owner
        self.bench.router.listener = self.callers
        self.life = lifecycle.Lifecycle(
            reactor=self.reactor,
            clock=self.clock.seconds,
            parts=(
                self.bench.owner,
                self.bench.router,
                self.callers,
                self.links,
            ),
            subscribers=(self.callers, self.links),
            drain_timeout_s=_DRAIN_S,
            pace=stop_pace.StopPace(linger_s=_LINGER_S, flush_s=_FLUSH_S),
        )
        self.bench.router.lifecycle = self.life
        self.callers.lifecycle = self.life
        self.links.closing.lifecycle = self.life
        self.life.machine.configure()

    def send_over_links(self) -> None:
        """Let calls leave by links, whose connections stay unanswered."""
        self.bench.router.sender = ingress.CallSender(
            instance=ids.InstanceId('a0'),
            links=self.links,
            owner=self.bench.owner,
        )

    def connect(self, method: bytes) -> '_Caller':
        """Open the connection of a caller and send a request."""
        built = self.reactor.tcpServers[0][1].buildProtocol(None)
        return _Caller(built, method)

    def accept(self) -> '_Peer':
        """Accept the call link of another node."""
        return _Peer(self.links)

    def ask_to_stop(self, *, owner_works: bool = False) -> None:
        """Deliver SIGTERM; the owner has finished unless it works."""
        self.life.post(events.DrainRequested())
        if not owner_works:
            self.finish_owner()

    def finish_owner(self) -> None:
        """Let the owner have no work left."""
        self.life.post(events.WorkFinished(part=states.NodePart.OWNER))

    def wait_until(self, moment: float) -> None:
        """Let time pass in small steps."""
        while self.clock.seconds() < moment:
            self.clock.advance(_STEP_S)
            self.reactor.advance(_STEP_S)

    @property
    def stopped(self) -> bool:
        """Whether the process has ended."""
        return self.reactor.stopped_at is not None


class _Caller:
    """The connection of a caller, whose socket takes what is written."""

    def __init__(
        self,
        connection: transport.CallerConnection,
        method: bytes,
    ) -> None:
        self.connection = connection
        self.wire = memory_transport.MemoryTransport()
        connection.makeConnection(self.wire)
        connection.dataReceived(_REQUEST % method)

    @property
    def status(self) -> str:
        """Status of the answer received; empty if there is none."""
        return self.wire.value()[9:12].decode()

    def take_all(self) -> None:
        """Let the socket take everything, so that the connection closes."""
        assert self.wire.disconnecting
        self.connection.connectionLost(_DONE)


class _Peer:
    """Another node that sends its calls to this one, in memory."""

    def __init__(self, links: peer_links.PeerLinks) -> None:
        self.received: list[object] = []
        self.near = transport.Link.accepting(
            opened=links.accept,
            received=links.receive_frame,
            closed=links.close_incoming,
        )
        self.far = transport.Link.connecting(
            path='/calls',
            opened=lambda link: None,
            received=self._receive,
            closed=lambda link: None,
        )
        for link in (self.near, self.far):
            link.makeConnection(memory_transport.MemoryTransport())
        self.exchange()

    def exchange(self) -> None:
        """Carry what waits in the sockets, and close what has been closed."""
        for _ in range(4):
            self._carry(self.far, self.near)
            self._carry(self.near, self.far)
        for link in (self.near, self.far):
            if link.transport.disconnecting and link.transport.connected:
                link.transport.connected = False
                link.connectionLost(_DONE)

    def take_all(self) -> None:
        """Let the socket of the node take everything that waits."""
        while self.near.transport.producer is not None:
            self.near.resumeProducing()
        self.exchange()

    def _carry(self, source: transport.Link, target: transport.Link) -> None:
        written = source.transport.value()
        source.transport.clear()
        if written:
            target.dataReceived(written)

    def _receive(self, link: transport.Link, frame: bytes) -> None:
        self.received.append(codec.decode(frame, now=0, peer='test'))


@pytest.fixture
def node() -> _Node:
    """Return a node that serves."""
    return _Node()


@pytest.mark.parametrize('method', [b'GET', b'POST'])
def test_every_open_request_is_answered_before_the_stop(
    node: _Node,
    method: bytes,
) -> None:
    """Guards against a connection closed with no answer (LOST)."""
    caller = node.connect(method)
    node.ask_to_stop()
    node.wait_until(_ANSWER_BY_S - 2 * _STEP_S)
    assert not caller.status
    node.wait_until(_DRAIN_S - 2 * _STEP_S)
    assert caller.status == '502'
    assert caller.wire.disconnecting


def test_a_request_that_was_not_sent_is_refused_before_the_stop(
    node: _Node,
) -> None:
    """Guards against unknown told for a request that never left the node."""
    node.send_over_links()
    caller = node.connect(b'POST')
    node.ask_to_stop()
    node.wait_until(_DRAIN_S - 2 * _STEP_S)
    assert caller.status == '503'


def test_a_call_taken_while_stopping_ends_before_the_stop(
    node: _Node,
) -> None:
    """Guards against an owner that answers after its ingress has ended."""
    node.ask_to_stop()
    node.wait_until(1)
    node.connect(b'POST')
    call = ingress_bench.only(node.bench.take_calls())
    assert call.request.deadline < _ANSWER_BY_S
    assert call.request.due < _ANSWER_BY_S


def test_the_process_ends_when_all_is_answered(node: _Node) -> None:
    """Guards against a machine that is kept for a fixed time after that."""
    caller = node.connect(b'POST')
    call = ingress_bench.only(node.bench.take_calls())
    node.ask_to_stop()
    node.wait_until(1)
    node.bench.answer(call.request.call_id)
    caller.take_all()
    node.wait_until(_LINGER_S - 2 * _STEP_S)
    assert not node.stopped
    node.wait_until(_LINGER_S + 2 * _STEP_S)
    assert node.stopped


def test_an_answer_in_the_buffer_leaves_before_the_stop(node: _Node) -> None:
    """Guards against the end of a large answer cut off by a fixed time."""
    caller = node.connect(b'POST')
    call = ingress_bench.only(node.bench.take_calls())
    node.ask_to_stop()
    node.wait_until(_LINGER_S)
    node.bench.answer(call.request.call_id, os.urandom(90_000))
    node.wait_until(_LINGER_S + 4 * _FLUSH_S)
    assert not node.stopped
    caller.take_all()
    node.wait_until(_LINGER_S + 4 * _FLUSH_S + 2 * _STEP_S)
    assert node.stopped


def test_an_owner_stops_after_its_answers_have_left(node: _Node) -> None:
    """Guards against answers that are ready and reset with their link."""
    peer = node.accept()
    node.ask_to_stop(owner_works=True)
    answer = messages.CallAnswered(
        call_id=ids.CallId(1),
        status=200,
        headers=(),
        body=os.urandom(90_000),
    )
    node.links.post(events.SendReply(link=ids.LinkId(1), message=answer))
    node.finish_owner()
    node.wait_until(_LINGER_S + 4 * _FLUSH_S)
    assert not node.stopped
    node.wait_until(_ANSWER_BY_S)
    peer.take_all()
    node.wait_until(_ANSWER_BY_S + 2 * _STEP_S)
    assert node.stopped
    assert peer.received[-1] == answer


def test_a_slow_caller_and_a_slow_link_do_not_outlast_the_grace_time(
    node: _Node,
) -> None:
    """Guards against a process that has to be killed."""
    node.connect(b'POST')
    node.accept()
    call = ingress_bench.only(node.bench.take_calls())
    node.ask_to_stop(owner_works=True)
    node.bench.answer(call.request.call_id, os.urandom(90_000))
    node.wait_until(_DRAIN_S + _STEP_S)
    assert node.stopped
