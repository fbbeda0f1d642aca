"""Connections that callers opened to one listening address."""

from twisted.internet import protocol, task, testing

from medlarquay import events, ids, transport
from medlarquay.testing import memory_transport

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


class _TurnClock(task.Clock):
    """Clock that runs timers set in one turn in the next, as a reactor does."""

    def turn(self) -> None:
        """Run the timers that are due in one turn."""
        due = self.calls
        self.calls = []
        for call in due:
            call.called = 1
            call.func(*call.args, **call.kw)


class _Listener:
    """Listening address, with all events that its connections delivered."""

    def __init__(self) -> None:
        self.clock = _TurnClock()
        self.delivered: list[object] = []
        self.protocols: list[protocol.Protocol] = []
        self.connections = transport.CallerConnections(
            deliver=self.delivered.append,
            reactor=self.clock,
        )
        self._reactor = testing.MemoryReactorClock()
        self.connections.listen(self._reactor, host='127.0.0.1', port=80)

    def connect(self) -> memory_transport.MemoryTransport:
        """Open a connection and send a request."""
        factory = self._reactor.tcpServers[0][1]
        wire = memory_transport.MemoryTransport()
        connection = factory.buildProtocol(None)
        self.protocols.append(connection)
        connection.makeConnection(wire)
        connection.dataReceived(_GET)
        return wire

    def run_turns(self) -> None:
        """Run the timers of four turns."""
        for _ in range(4):
            self.clock.turn()

    def answer(self, caller: ids.CallerId, body: bytes) -> None:
        """Answer the request of a connection."""
        self.connections.answer(
            events.AnswerReady(
                caller=caller,
                status=200,
                headers=(),
                body=body,
            ),
        )


def test_answers_go_to_the_connection_of_their_request() -> None:
    """Guards against an answer written to the connection of another caller."""
    listener = _Listener()
    wires = [listener.connect() for _ in range(3)]
    callers = [message.caller for message in listener.delivered]
    assert len(set(callers)) == 3
    for caller in reversed(callers):
        listener.answer(caller, b'to %d' % caller)
    for caller, wire in zip(callers, wires, strict=True):
        assert wire.value().endswith(b'to %d' % caller)


def test_an_answer_for_a_closed_connection_is_dropped() -> None:
    """Guards against an answer to a later connection that reuses the number."""
    listener = _Listener()
    listener.connect()
    first = listener.delivered[0].caller
    listener.protocols[0].connectionLost()
    assert listener.delivered[-1] == events.CallerGone(caller=first)
    wire = listener.connect()
    listener.answer(first, b'late')
    assert not wire.value()


def test_received_requests_are_read_before_closing() -> None:
    """Guards against a late timer that closes a socket with an unread request.

    The reactor runs timers before sockets, so a node that was not scheduled
    for 0.3 s closed connections with unread requests.
    """
    listener = _Listener()
    wire = listener.connect()
    caller = listener.delivered[0].caller
    listener.answer(caller, b'first')
    closed: list[bool] = []
    listener.connections.close_gracefully(lambda: closed.append(True))
    listener.protocols[0].dataReceived(_GET)
    listener.run_turns()
    assert not wire.disconnecting
    listener.answer(caller, b'second')
    assert wire.value().endswith(b'second')
    assert not closed


def test_idle_connections_are_closed_without_delay() -> None:
    """Guards against a stop that waits for idle callers."""
    listener = _Listener()
    wire = listener.connect()
    listener.answer(listener.delivered[0].caller, b'first')
    closed: list[bool] = []
    listener.connections.close_gracefully(lambda: closed.append(True))
    listener.run_turns()
    assert wire.disconnecting
    listener.protocols[0].connectionLost()
    assert closed


def test_connections_in_the_backlog_are_read_before_closing() -> None:
    """Guards against closing connections that were accepted but not read.

    After a pause, a node accepts them in one turn of the reactor and reads
    them in the next one.
    """
    listener = _Listener()
    closed: list[bool] = []
    listener.connections.close_gracefully(lambda: closed.append(True))
    listener.clock.turn()
    wire = listener.connect()
    listener.clock.turn()
    assert not closed
    assert not wire.disconnecting
    listener.answer(listener.delivered[0].caller, b'refused')
    assert wire.value().endswith(b'refused')
