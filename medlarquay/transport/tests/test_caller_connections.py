"""Connections of one listening address."""

from twisted.internet import protocol, task, testing

from medlarquay import events, ids, transport
from medlarquay.testing import memory_transport

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'


class _Address:
    """A listening address and what its connections delivered."""

    def __init__(self) -> None:
        self.delivered: list[object] = []
        self.protocols: list[protocol.Protocol] = []
        self.connections = transport.CallerConnections(
            deliver=self.delivered.append,
            reactor=task.Clock(),
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
