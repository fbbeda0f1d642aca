"""Tests for the graceful stop of a node, as seen by callers and peers."""

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
from medlarquay.daemon import lifecycle, stop_timing
from medlarquay.tasks import caller_listener, peer_links, uplink
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import memory_transport

_DRAIN_S = 5.5
_LINGER_S = 2.3
_FLUSH_S = 0.3
# Slow enough that a large answer takes most of the time between SIGTERM and the
# end of the process.
_LINK_BYTES_PER_S = 25_000
_ANSWER_BY_S = _DRAIN_S - _FLUSH_S
_STEP_S = 0.01
_DONE = failure.Failure(error.ConnectionDone())
_REQUEST = b'%s /x HTTP/1.1\r\nHost: desk.team\r\nContent-Length: 0\r\n\r\n'


class _Reactor(testing.MemoryReactorClock):
    """In-memory reactor that records when it was stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.stopped_at: float | None = None

    def stop(self) -> None:
        """Record the time."""
        super().stop()
        self.stopped_at = self.seconds()


class _Node:
    """Parts of a node that keep connections open while it stops."""

    def __init__(self) -> None:
        self.bench = ingress_bench.IngressBench(
            ingress_bench.backend('a1'),
            ingress_bench.backend('a2'),
            ingress_bench.backend('b1'),
            timeout_ms=60_000,
        )
        # All parts use the clock of the router.
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
        self.lifecycle_task = lifecycle.Lifecycle(
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
            stop_times=stop_timing.StopTiming(
                linger_s=_LINGER_S, flush_s=_FLUSH_S
            ),
        )
        self.bench.router.lifecycle = self.lifecycle_task
        self.callers.lifecycle = self.lifecycle_task
        self.links.closing.lifecycle = self.lifecycle_task
        self.lifecycle_task.machine.configure()

    def route_over_links(self) -> None:
        """Route calls over links whose connection attempts never complete."""
        self.bench.router.sender = ingress.CallSender(
            instance=ids.InstanceId('a0'),
            links=self.links,
            owner=self.bench.owner,
        )

    def connect(self, method: bytes) -> '_Caller':
        """Open the connection of a caller and send a request."""
        connection = self.reactor.tcpServers[0][1].buildProtocol(None)
        return _Caller(connection, method)

    def accept(self) -> '_Peer':
        """Accept the call link of another node."""
        return _Peer(self.links)

    def request_stop(self, *, owner_works: bool = False) -> None:
        """Request a stop as SIGTERM does; the owner is idle unless it works."""
        self.lifecycle_task.post(events.DrainRequested())
        if not owner_works:
            self.finish_owner()

    def finish_owner(self) -> None:
        """Report that the owner has no work left."""
        self.lifecycle_task.post(
            events.WorkFinished(part=states.NodePart.OWNER)
        )

    def wait_until(self, moment: float) -> None:
        """Advance the time in small steps."""
        while self.clock.seconds() < moment:
            self.clock.advance(_STEP_S)
            self.reactor.advance(_STEP_S)

    @property
    def stopped(self) -> bool:
        """Whether the reactor was stopped, which ends the process."""
        return self.reactor.stopped_at is not None


class _Caller:
    """Connection of a caller, over an in-memory socket."""

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
        """Status of the answer; empty if none was received."""
        return self.wire.value()[9:12].decode()

    def drain_socket(self) -> None:
        """Complete the sending, so that the connection closes."""
        assert self.wire.disconnecting
        self.connection.connectionLost(_DONE)


class _Peer:
    """Another node with a call link to this one, in memory."""

    def __init__(self, links: peer_links.PeerLinks) -> None:
        self.received: list[object] = []
        self.accepting = transport.Link.accepting(
            opened=links.accept,
            received=links.receive_frame,
            closed=links.remove_incoming,
        )
        self.connecting = transport.Link.connecting(
            path='/calls',
            opened=lambda link: None,
            received=self._receive,
            closed=lambda link: None,
        )
        for link in (self.accepting, self.connecting):
            link.makeConnection(memory_transport.MemoryTransport())
        self.exchange()

    def exchange(self) -> None:
        """Transfer the bytes of both sockets; complete closes in progress."""
        for _ in range(4):
            self._transfer(self.connecting, self.accepting)
            self._transfer(self.accepting, self.connecting)
        for link in (self.accepting, self.connecting):
            if link.transport.disconnecting and link.transport.connected:
                link.transport.connected = False
                link.connectionLost(_DONE)

    def drain_socket(self) -> None:
        """Let the socket of the node accept all bytes that wait."""
        while self.accepting.transport.producer is not None:
            self.accepting.resumeProducing()
        self.exchange()

    def _transfer(self, source: transport.Link, target: transport.Link) -> None:
        written = source.transport.value()
        source.transport.clear()
        if written:
            target.dataReceived(written)

    def _receive(self, link: transport.Link, frame: bytes) -> None:
        self.received.append(codec.decode(frame, now=0, peer='test'))


@pytest.fixture
def node() -> _Node:
    """Return a node in the state *serving*."""
    return _Node()


@pytest.mark.parametrize('method', [b'GET', b'POST'])
def test_every_open_request_is_answered_before_the_stop(
    node: _Node,
    method: bytes,
) -> None:
    """Guards against a connection that is closed without an answer.

    The soak reports it as ``LOST``.
    """
    caller = node.connect(method)
    node.request_stop()
    node.wait_until(_ANSWER_BY_S - 2 * _STEP_S)
    assert not caller.status
    node.wait_until(_DRAIN_S - 2 * _STEP_S)
    assert caller.status == '502'
    assert caller.wire.disconnecting


def test_unsent_request_is_refused_before_the_stop(
    node: _Node,
) -> None:
    """Guards against an unknown outcome of a call that was never sent."""
    node.route_over_links()
    caller = node.connect(b'POST')
    node.request_stop()
    node.wait_until(_DRAIN_S - 2 * _STEP_S)
    assert caller.status == '503'


def test_deadline_of_call_while_draining_is_before_the_stop(
    node: _Node,
) -> None:
    """Guards against an owner that answers after the ingress has stopped."""
    node.request_stop()
    node.wait_until(1)
    node.connect(b'POST')
    call = ingress_bench.only(node.bench.take_calls())
    assert call.request.deadline < _ANSWER_BY_S
    assert call.request.due < _ANSWER_BY_S


def test_process_ends_when_all_requests_are_answered(node: _Node) -> None:
    """Guards against a stop that takes a fixed time with no work left."""
    caller = node.connect(b'POST')
    call = ingress_bench.only(node.bench.take_calls())
    node.request_stop()
    node.wait_until(1)
    node.bench.answer(call.request.call_id)
    caller.drain_socket()
    node.wait_until(_LINGER_S - 2 * _STEP_S)
    assert not node.stopped
    node.wait_until(_LINGER_S + 2 * _STEP_S)
    assert node.stopped


def test_buffered_answer_is_sent_before_the_stop(node: _Node) -> None:
    """Guards against a large answer truncated when the flush time is over."""
    caller = node.connect(b'POST')
    call = ingress_bench.only(node.bench.take_calls())
    node.request_stop()
    node.wait_until(_LINGER_S)
    node.bench.answer(call.request.call_id, os.urandom(90_000))
    node.wait_until(_LINGER_S + 4 * _FLUSH_S)
    assert not node.stopped
    caller.drain_socket()
    node.wait_until(_LINGER_S + 4 * _FLUSH_S + 2 * _STEP_S)
    assert node.stopped


def test_owner_stops_after_its_answers_are_sent(node: _Node) -> None:
    """Guards against answers that are ready but lost with their link."""
    peer = node.accept()
    node.request_stop(owner_works=True)
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
    peer.drain_socket()
    node.wait_until(_ANSWER_BY_S + 2 * _STEP_S)
    assert node.stopped
    assert peer.received[-1] == answer


def test_slow_caller_and_link_do_not_delay_the_stop(
    node: _Node,
) -> None:
    """Guards against a process that misses its drain deadline and is killed."""
    node.connect(b'POST')
    node.accept()
    call = ingress_bench.only(node.bench.take_calls())
    node.request_stop(owner_works=True)
    node.bench.answer(call.request.call_id, os.urandom(90_000))
    node.wait_until(_DRAIN_S + _STEP_S)
    assert node.stopped
