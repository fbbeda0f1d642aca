"""The backend task on a fake reactor."""

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


class _Server:
    """A backend task whose connections a test accepts, refuses or loses."""

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
        """Ask the task to send a request."""
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
        """Start several requests on their own connections."""
        for number in range(1, count + 1):
            self.start(number)
        return [self.accept() for _ in range(count)]


def _lose(protocol: object) -> None:
    protocol.connectionLost(failure.Failure(error.ConnectionLost()))


def _failed(number: int) -> events.BackendFailed:
    return events.BackendFailed(
        exchange=ids.ExchangeId(number),
        sent=True,
        connection_refused=False,
        reset=True,
    )


def _crashed(*numbers: int) -> events.BackendCrashed:
    found = tuple(ids.ExchangeId(number) for number in numbers)
    return events.BackendCrashed(exchanges=found)


def test_crash_is_reported_before_its_failures() -> None:
    """Guards against a poison request sent again before it is suspected."""
    server = _Server()
    for protocol in server.run(2):
        _lose(protocol)
    assert not server.owner.seen
    server.refuse()
    assert server.owner.seen == [_crashed(1, 2), _DOWN, _failed(1), _failed(2)]


def test_draining_backend_server_finishes_its_work() -> None:
    """Guards against aborting work when only the listener is closed."""
    server = _Server()
    connections = server.run(3)
    server.start(4)
    server.refuse()
    assert server.owner.seen[0] == _DOWN
    connections[0].dataReceived(_ANSWER)
    assert server.owner.seen[-1].exchange == 1
    _lose(connections[1])
    _lose(connections[2])
    server.refuse()
    assert server.owner.seen[-3:] == [_crashed(2, 3), _failed(2), _failed(3)]


def test_slow_accept_is_not_down_while_work_runs() -> None:
    """Guards against taking a busy backend server for a crashed one."""
    server = _Server()
    server.run(1)
    server.start(2)
    server.reactor.tcpClients.pop(0)[2].clientConnectionFailed(
        None,
        failure.Failure(error.TimeoutError()),
    )
    assert [entry.sent for entry in server.owner.seen] == [False]


def test_backend_server_is_probed_until_it_accepts() -> None:
    """Guards against refusing work for ever after one crash."""
    server = _Server()
    server.start(1)
    server.refuse()
    assert server.owner.seen[0] == _DOWN
    assert [entry.sent for entry in server.owner.seen[1:]] == [False]
    for _ in range(5):
        server.reactor.advance(1)
        assert len(server.reactor.tcpClients) == 1
        server.refuse()
    server.reactor.advance(1)
    server.accept()
    assert server.owner.seen[-1] == _UP
    server.start(2)
    assert not server.reactor.tcpClients


def test_half_answer_is_no_crash() -> None:
    """Guards against suspecting requests of a server that still runs."""
    server = _Server()
    connections = server.run(2)
    connections[0].dataReceived(_ANSWER[:-1])
    _lose(connections[0])
    server.accept()
    server.reactor.advance(0.1)
    assert server.owner.seen == [_failed(1)]


def test_probe_that_is_reset_does_not_count() -> None:
    """Guards against missing the crash of a process that ends slowly."""
    server = _Server()
    _lose(server.run(1)[0])
    _lose(server.accept())
    server.reactor.advance(0.1)
    assert not server.owner.seen
    server.refuse()
    assert server.owner.seen == [_crashed(1), _DOWN, _failed(1)]


def test_replaced_process_is_a_crash() -> None:
    """Guards against missing the crash of a server that restarts at once."""
    server = _Server()
    for protocol in server.run(2):
        _lose(protocol)
    server.accept()
    server.reactor.advance(0.1)
    assert server.owner.seen == [_crashed(1, 2), _UP, _failed(1), _failed(2)]


def test_answer_over_the_limit_is_unknown() -> None:
    """Guards against a cut answer that looks whole."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(b'HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n')
    connection.dataReceived(b'\r\n' + bytes(1_500_000))
    assert server.owner.seen == [
        events.BackendFailed(
            exchange=ids.ExchangeId(1),
            sent=True,
            connection_refused=False,
            too_large=True,
        ),
    ]


def test_deadline_is_checked_when_a_connection_opens() -> None:
    """Guards against sending a request after a slow connect or a pause."""
    server = _Server()
    server.start(1, deadline=0.5)
    server.reactor.advance(0.6)
    protocol = server.accept()
    assert not protocol.transport.value()
    assert [entry.sent for entry in server.owner.seen] == [False]


def test_connection_is_used_again() -> None:
    """Guards against paying for a new connection with each request."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(_ANSWER)
    server.start(2)
    assert not server.reactor.tcpClients
    answered = server.owner.seen[0]
    assert (answered.exchange, answered.body) == (1, b'ok')


def test_surplus_answer_reaches_no_other_caller() -> None:
    """Guards against the answer of one request given to the next."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(_ANSWER + _ANSWER)
    server.start(2)
    assert len(server.owner.seen) == 1
    assert len(server.reactor.tcpClients) == 1


def test_answer_without_a_request_closes_the_connection() -> None:
    """Guards against a late answer given to the next request."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(_ANSWER)
    connection.dataReceived(_ANSWER)
    server.start(2)
    assert len(server.owner.seen) == 1
    assert len(server.reactor.tcpClients) == 1


def test_interim_answer_is_skipped() -> None:
    """Guards against taking 100 Continue for the answer."""
    server = _Server()
    connection = server.run(1)[0]
    connection.dataReceived(b'HTTP/1.1 100 Continue\r\n\r\n' + _ANSWER)
    answered = server.owner.seen[0]
    assert (answered.status, answered.body) == (200, b'ok')


def test_head_answer_has_no_body() -> None:
    """Guards against waiting for the body of an answer to HEAD."""
    server = _Server()
    server.start(1, method=b'HEAD')
    server.accept().dataReceived(_ANSWER[:-2])
    answered = server.owner.seen[0]
    assert (answered.status, answered.body) == (200, b'')
