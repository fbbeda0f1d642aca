"""Connections of one listening address."""

from twisted.internet import protocol, task, testing

from medlarquay import events, ids, transport
from medlarquay.testing import memory_transport

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


class _Turns(task.Clock):
    """Clock that leaves timers set in a turn to the next, as reactors do."""

    def turn(self) -> None:
        """Run the timers of one turn, whose time has come."""
        due = self.calls
        self.calls = []
        for call in due:
            call.called = 1
            call.func(*call.args, **call.kw)


class _Address:
    """A listening address and what its connections delivered."""

    def __init__(self) -> None:
        self.clock = _Turns()
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

    def pass_turns(self) -> None:
        """Let the reactor run its timers a few times."""
        for _ in range(3):
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


def test_each_connection_gets_its_own_answers() -> None:
    """Guards against an answer on the connection of another caller."""
    address = _Address()
    wires = [address.connect() for _ in range(3)]
    callers = [message.caller for message in address.delivered]
    assert len(set(callers)) == 3
    for caller in reversed(callers):
        address.answer(caller, b'to %d' % caller)
    for caller, wire in zip(callers, wires, strict=True):
        assert wire.value().endswith(b'to %d' % caller)


def test_an_answer_after_the_close_goes_nowhere() -> None:
    """Guards against an answer to whoever uses a number again."""
    address = _Address()
    address.connect()
    first = address.delivered[0].caller
    address.protocols[0].connectionLost()
    assert address.delivered[-1] == events.CallerGone(caller=first)
    wire = address.connect()
    address.answer(first, b'late')
    assert not wire.value()


def test_what_had_arrived_is_read_before_the_end() -> None:
    """Guards against a request in a socket that a late timer closes.

    Timers come before sockets in a turn of the reactor, so that a node which
    was not scheduled for 0.3 s closed connections with unread requests.
    """
    address = _Address()
    wire = address.connect()
    caller = address.delivered[0].caller
    address.answer(caller, b'first')
    reports: list[bool] = []
    address.connections.close_gracefully(lambda: reports.append(True))
    address.protocols[0].dataReceived(_GET)
    address.pass_turns()
    assert not wire.disconnecting
    address.answer(caller, b'second')
    assert wire.value().endswith(b'second')
    assert not reports


def test_idle_connections_end_without_delay() -> None:
    """Guards against a stop that waits for callers who send nothing."""
    address = _Address()
    wire = address.connect()
    address.answer(address.delivered[0].caller, b'first')
    reports: list[bool] = []
    address.connections.close_gracefully(lambda: reports.append(True))
    address.pass_turns()
    assert wire.disconnecting
    address.protocols[0].connectionLost()
    assert reports


def test_waiting_connections_are_read_before_the_end() -> None:
    """Guards against unread requests on connections that were just accepted.

    A node that was paused accepts them in one turn of the reactor and reads
    them in the next one.
    """
    address = _Address()
    reports: list[bool] = []
    address.connections.close_gracefully(lambda: reports.append(True))
    address.clock.turn()
    wire = address.connect()
    address.clock.turn()
    assert not reports
    assert not wire.disconnecting
    address.answer(address.delivered[0].caller, b'refused')
    assert wire.value().endswith(b'refused')
