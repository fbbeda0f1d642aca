"""Tests of the backend task on a fake reactor."""

from twisted.internet import error, testing
from twisted.python import failure

from medlarquay import events, ids, states
from medlarquay.tasks import backend
from medlarquay.tasks.tests import owner_bench

_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
_DOWN = events.BackendChanged(state=states.BackendState.DOWN)
_UP = events.BackendChanged(state=states.BackendState.UP)


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option, which has no effect in memory."""


class _ResetSocket:
    def recv(self, size: int, flags: int) -> bytes:
        """Report a reset of the connection."""
        raise ConnectionResetError


class _Server:
    """A backend task; the test accepts, refuses or loses its connections."""

    def __init__(self) -> None:
        self.reactor = testing.MemoryReactorClock()
        self.owner = owner_bench.Recorder(name='owner')
        self.task = backend.Backend(
            reactor=self.reactor,
            owner=self.owner,
            host='127.0.0.1',
            port=1,
            clock=self.reactor.seconds,
        )

    def start(
        self,
        number: int,
        *,
        deadline: float = 10,
        method: bytes = b'GET',
    ) -> None:
        """Post a request to the task."""
        self.task.post(
            events.StartRequest(
                exchange=ids.ExchangeId(number),
                method=method,
                target=b'/',
                headers=(),
                body=b'',
                deadline=deadline,
            ),
        )

    def accept(self) -> object:
        """Accept the oldest connection."""
        protocol = self.reactor.tcpClients.pop(0)[2].buildProtocol(None)
        protocol.makeConnection(_Transport())
        return protocol

    def refuse(self) -> None:
        """Refuse the oldest connection."""
        factory = self.reactor.tcpClients.pop(0)[2]
        factory.clientConnectionFailed(
            None,
            failure.Failure(error.ConnectionRefusedError()),
        )

    def run(self, count: int) -> list[object]:
        """Start requests, each on a connection of its own."""
        for number in range(1, count + 1):
            self.start(number)
        return [self.accept() for _ in range(count)]


def _lose(protocol: object) -> None:
    protocol.connectionLost(failure.Failure(error.ConnectionLost()))


def _accept_and_reset(server: _Server) -> None:
    """Let the kernel report a reset before the task uses the connection."""
    protocol = server.reactor.tcpClients.pop(0)[2].buildProtocol(None)
    transport = _Transport()
    transport.getHandle = _ResetSocket
    protocol.makeConnection(transport)


def _failed(number: int) -> events.BackendFailed:
    return events.BackendFailed(
        exchange=ids.ExchangeId(number),
        sent=True,
        connection_refused=False,
        reset=True,
    )


def _crashed(*numbers: int) -> events.BackendCrashed:
    exchange_ids = tuple(ids.ExchangeId(number) for number in numbers)
    return events.BackendCrashed(exchanges=exchange_ids)


def test_crash_is_reported_before_its_failures() -> None:
    """Guards against a poison request that is retried too early.

    If its failure is reported before the crash, the owner may start the retry
    before it suspects the request.
    """
    server = _Server()
    for protocol in server.run(2):
        _lose(protocol)
    assert not server.owner.received
    server.refuse()
    assert server.owner.received == [
        _crashed(1, 2),
        _DOWN,
        _failed(1),
        _failed(2),
    ]


def test_draining_backend_server_finishes_its_work() -> None:
    """Guards against requests aborted when only the listener is closed.

    A draining backend server refuses new connections while it still answers
    the requests in flight.
    """
    server = _Server()
    connections = server.run(3)
    server.start(4)
    server.refuse()
    assert server.owner.received[0] == _DOWN
    connections[0].dataReceived(_ANSWER)
    assert server.owner.received[-1].exchange == 1
    _lose(connections[1])
    _lose(connections[2])
    server.refuse()
    assert server.owner.received[-3:] == [
        _crashed(2, 3),
        _failed(2),
        _failed(3),
    ]


def test_connect_timeout_while_requests_run_is_not_down() -> None:
    """Guards against a busy backend server, slow to accept, reported down."""
    server = _Server()
    server.run(1)
    server.start(2)
    server.reactor.tcpClients.pop(0)[2].clientConnectionFailed(
        None,
        failure.Failure(error.TimeoutError()),
    )
    assert [entry.sent for entry in server.owner.received] == [False]


def test_backend_server_is_probed_until_it_accepts() -> None:
    """Guards against requests refused forever after a single crash."""
    server = _Server()
    server.start(1)
    server.refuse()
    assert server.owner.received[0] == _DOWN
    assert [entry.sent for entry in server.owner.received[1:]] == [False]
    for _ in range(5):
        server.reactor.advance(1)
        assert len(server.reactor.tcpClients) == 1
        server.refuse()
    server.reactor.advance(1)
    server.accept()
    assert server.owner.received[-1] == _UP
    server.start(2)
    assert not server.reactor.tcpClients


def test_incomplete_answer_is_not_a_crash() -> None:
    """Guards against requests suspected although the server still runs.

    It closed one connection in the middle of an answer and accepts others.
    """
    server = _Server()
    connections = server.run(2)
    connections[0].dataReceived(_ANSWER[:-1])
    _lose(connections[0])
    server.accept()
    server.reactor.advance(0.1)
    assert server.owner.received == [_failed(1)]


def test_probe_that_is_reset_is_repeated() -> None:
    """Guards against a missed crash of a process that exits slowly.

    It can accept the probe and reset it, as its sockets close one by one.
    """
    server = _Server()
    _lose(server.run(1)[0])
    _lose(server.accept())
    server.reactor.advance(0.1)
    assert not server.owner.received
    server.refuse()
    assert server.owner.received == [_crashed(1), _DOWN, _failed(1)]


def test_probes_that_are_all_reset_wait_for_one_another() -> None:
    """Guards against probes without a wait, which take the whole processor.

    A backend server with too many connections accepts and resets each one.
    """
    server = _Server()
    server.start(1)
    server.refuse()
    probes = 0
    for _ in range(100):
        server.reactor.advance(0.01)
        while server.reactor.tcpClients and probes < 100:
            _accept_and_reset(server)
            probes += 1
    assert 1 < probes <= 10, probes


def test_replaced_process_is_a_crash() -> None:
    """Guards against a missed crash of a server that restarts at once.

    The probe then succeeds although all connections were lost.
    """
    server = _Server()
    for protocol in server.run(2):
        _lose(protocol)
    server.accept()
    server.reactor.advance(0.1)
    assert server.owner.received == [
        _crashed(1, 2),
        _UP,
        _failed(1),
        _failed(2),
    ]


def test_answer_over_the_limit_is_unknown() -> None:
    """Guards against a truncated answer delivered as a complete one."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(b'HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n')
    connection.dataReceived(b'\r\n' + bytes(1_500_000))
    assert server.owner.received == [
        events.BackendFailed(
            exchange=ids.ExchangeId(1),
            sent=True,
            connection_refused=False,
            too_large=True,
        ),
    ]


def test_deadline_is_checked_when_a_connection_opens() -> None:
    """Guards against a request sent too late after a slow connect or pause."""
    server = _Server()
    server.start(1, deadline=0.5)
    server.reactor.advance(0.6)
    protocol = server.accept()
    assert not protocol.transport.value()
    assert [entry.sent for entry in server.owner.received] == [False]


def test_connection_is_reused() -> None:
    """Guards against the cost of a new connection for each request."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(_ANSWER)
    server.start(2)
    assert not server.reactor.tcpClients
    answered = server.owner.received[0]
    assert (answered.exchange, answered.body) == (1, b'ok')


def test_surplus_answer_reaches_no_other_caller() -> None:
    """Guards against the answer to one request delivered to the next.

    The backend server sends two answers to one request.
    """
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(_ANSWER + _ANSWER)
    server.start(2)
    assert len(server.owner.received) == 1
    assert len(server.reactor.tcpClients) == 1


def test_answer_without_a_request_closes_the_connection() -> None:
    """Guards against a late answer delivered to the next request.

    The backend server sends a second answer on an idle connection.
    """
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(_ANSWER)
    connection.dataReceived(_ANSWER)
    server.start(2)
    assert len(server.owner.received) == 1
    assert len(server.reactor.tcpClients) == 1


def test_interim_answer_is_skipped() -> None:
    """Guards against ``100 Continue`` taken for the final answer."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(b'HTTP/1.1 100 Continue\r\n\r\n' + _ANSWER)
    answered = server.owner.received[0]
    assert (answered.status, answered.body) == (200, b'ok')


def test_head_answer_has_no_body() -> None:
    """Guards against a wait for the body of an answer to HEAD."""
    server = _Server()
    server.start(1, method=b'HEAD')
    server.accept().dataReceived(_ANSWER[:-2])
    answered = server.owner.received[0]
    assert (answered.status, answered.body) == (200, b'')
