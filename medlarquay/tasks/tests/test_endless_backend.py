"""Tests of backend servers whose answers do not end, on loopback."""

import contextlib
from collections.abc import Callable, Iterator

import pytest
from twisted.internet import interfaces, protocol, selectreactor
from zope.interface import implementer

from medlarquay import events, messages, states
from medlarquay.tasks import backend
from medlarquay.tasks.tests import owner_bench
from medlarquay.transport import factories

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
_WRITE_BYTES = 16_384
_MAX_TURNS = 5000


@implementer(interfaces.IPullProducer)
class EndlessServer(protocol.Protocol):
    """Answers a request with bytes that end only with the connection."""

    def __init__(self, *, begin: bytes, endless: bytes) -> None:
        self.closed = False
        self.request_received = False
        self._begin = begin
        self._endless = endless

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start to send the endless answer."""
        self.request_received = True
        self.transport.write(self._begin)
        if self._endless:
            self.transport.registerProducer(self, False)  # noqa: FBT003

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next bytes."""
        self.transport.write(self._endless)

    def stopProducing(self) -> None:  # noqa: N802
        """Stop, since the connection is lost."""

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Record that the node closed the connection."""
        self.closed = True


class _EndlessBench:
    """An owner with one slot and an endless backend server on loopback."""

    def __init__(self, *, begin: bytes, endless: bytes) -> None:
        self.reactor = selectreactor.SelectReactor()
        self.server = EndlessServer(begin=begin, endless=endless)
        self.port = self.reactor.listenTCP(
            0,
            factories.BuildingFactory(build=lambda: self.server),
            interface='127.0.0.1',
        )
        self.owner_bench = owner_bench.OwnerBench(slots=1)
        self.backend = backend.Backend(
            reactor=self.reactor,
            owner=self.owner_bench.owner,
            host='127.0.0.1',
            port=self.port.getHost().port,
            clock=self.owner_bench.clock.seconds,
        )
        self.owner_bench.owner.backend = self.backend

    def trickle(self, endless: bytes, seconds: int) -> int:
        """Send one byte a second; return how many the node accepted."""
        for second in range(seconds):
            if self.server.closed:
                return second
            position = second % len(endless)
            self.server.transport.write(endless[position : position + 1])
            for _ in range(4):
                self.reactor.runUntilCurrent()
                self.reactor.doIteration(0.001)
            self.owner_bench.clock.advance(1)
        return seconds

    def run_until(self, condition: Callable[[], object]) -> None:
        """Run the reactor until a condition holds."""
        for _ in range(_MAX_TURNS):
            if condition():
                return
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.001)
        raise AssertionError('condition not met in time')

    def results(self) -> list[object]:
        """Return the results that were sent to the ingress."""
        sent = self.owner_bench.links.of_type(events.SendReply)
        return [reply.message for reply in sent]

    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self.owner_bench.owner.admission.running)


@pytest.fixture
def serve() -> Iterator[Callable[[bytes, bytes], _EndlessBench]]:
    """Return a function that starts a bench with an endless server."""
    with contextlib.ExitStack() as stack:

        def build(begin: bytes, endless: bytes) -> _EndlessBench:
            bench = _EndlessBench(begin=begin, endless=endless)
            stack.callback(bench.port.stopListening)
            return bench

        yield build


def _unknown(result: object) -> states.RefusalReason:
    assert isinstance(result, messages.CallUnknown)
    return result.reason


@pytest.mark.parametrize(
    ('begin', 'endless', 'reason'),
    [
        (_OK + b'X: ', b'x', states.RefusalReason.BACKEND_LOST),
        (_OK, b'X: a\r\n', states.RefusalReason.BACKEND_LOST),
        (
            b'',
            b'HTTP/1.1 100 Continue\r\n\r\n',
            states.RefusalReason.BACKEND_LOST,
        ),
        (
            _CHUNKED + b'0\r\n',
            b'X: a\r\n',
            states.RefusalReason.BACKEND_LOST,
        ),
        (b'', b'noise', states.RefusalReason.BACKEND_LOST),
        (_OK + b'\r\n', b'x', states.RefusalReason.ANSWER_TOO_LARGE),
        (
            _CHUNKED,
            b'2\r\nxx\r\n',
            states.RefusalReason.ANSWER_TOO_LARGE,
        ),
    ],
)
@pytest.mark.parametrize('idempotent', [True, False])
def test_endless_answer_is_unknown_at_once(
    serve: Callable[[bytes, bytes], _EndlessBench],
    begin: bytes,
    endless: bytes,
    reason: states.RefusalReason,
    idempotent: bool,
) -> None:
    """Guards against a slot held, or a wrong outcome, by an endless answer.

    The answer is aborted when it exceeds a size limit; whether the request
    was run remains unknown.
    """
    bench = serve(begin, endless * (_WRITE_BYTES // len(endless)))
    bench.owner_bench.call(1, idempotent=idempotent)
    assert bench.running() == 1
    bench.run_until(bench.results)
    assert [_unknown(result) for result in bench.results()] == [reason]
    assert not bench.running()
    bench.run_until(lambda: bench.server.closed)


@pytest.mark.parametrize('begin', [_OK, _OK + b'X: x', _OK + b'\r\nx', b''])
def test_stalled_answer_is_aborted_at_the_deadline(
    serve: Callable[[bytes, bytes], _EndlessBench],
    begin: bytes,
) -> None:
    """Guards against a slot and a connection held by a stalled answer."""
    bench = serve(begin, b'')
    bench.owner_bench.call(1, idempotent=True, timeout=2)
    bench.run_until(
        lambda: bench.server.connected and bench.reactor.getReaders()
    )
    bench.owner_bench.clock.advance(2.1)
    assert [_unknown(result) for result in bench.results()] == [
        states.RefusalReason.DEADLINE_PASSED,
    ]
    assert not bench.running()
    bench.run_until(lambda: bench.server.closed)


def test_stalled_answer_to_a_post_frees_its_slot_when_hung(
    serve: Callable[[bytes, bytes], _EndlessBench],
) -> None:
    """Guards against a slot that a hung backend server holds forever."""
    bench = serve(_OK + b'\r\nx', b'')
    bench.owner_bench.owner.local_backend = type(
        bench.owner_bench.owner.local_backend
    )(hung_s=0.5)
    bench.owner_bench.call(1, timeout=2)
    bench.run_until(lambda: bench.server.connected)
    bench.owner_bench.clock.advance(2.1)
    assert _unknown(bench.results()[0]) is states.RefusalReason.DEADLINE_PASSED
    assert bench.running() == 1
    bench.owner_bench.clock.advance(0.5)
    assert not bench.running()
    bench.run_until(lambda: bench.server.closed)


def test_endless_bytes_after_an_answer_are_discarded(
    serve: Callable[[bytes, bytes], _EndlessBench],
) -> None:
    """Guards against surplus bytes delivered to another caller."""
    answer = _OK + b'Content-Length: 2\r\n\r\nok'
    bench = serve(answer, answer * (_WRITE_BYTES // len(answer)))
    bench.owner_bench.call(1)
    bench.run_until(bench.results)
    bench.run_until(lambda: bench.server.closed)
    assert len(bench.results()) == 1
    result = bench.results()[0]
    assert isinstance(result, messages.CallAnswered)
    assert result.body == b'ok'
    assert not bench.running()


_TRICKLES = pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        pytest.param(b'', b'HTTP/1.1 200 OK' + b'k' * 99, id='status-line'),
        pytest.param(_OK, b'X: a\r\n', id='fields'),
        pytest.param(b'', b'HTTP/1.1 100 Continue\r\n\r\n', id='interim'),
        pytest.param(_OK + b'\r\n', b'x', id='body-without-length'),
        pytest.param(
            _OK + b'Content-Length: 1000\r\n\r\n',
            b'x',
            id='body-with-length',
        ),
        pytest.param(_CHUNKED, b'1\r\nx\r\n', id='chunks'),
        pytest.param(_CHUNKED + b'0\r\n', b'X: a\r\n', id='trailers'),
    ],
)


@_TRICKLES
def test_trickled_answer_is_aborted_at_the_deadline(
    serve: Callable[[bytes, bytes], _EndlessBench],
    begin: bytes,
    endless: bytes,
) -> None:
    """Guards against a slot and a caller held by an endless answer.

    One byte a second keeps the connection from ever being idle.
    """
    bench = serve(begin, b'')
    bench.owner_bench.call(1, idempotent=True, timeout=10)
    bench.run_until(lambda: bench.server.request_received)
    assert bench.trickle(endless, 60) <= 11
    assert [_unknown(result) for result in bench.results()] == [
        states.RefusalReason.DEADLINE_PASSED,
    ]
    assert not bench.running()
    assert not bench.backend.idle
    assert not bench.backend.active


@_TRICKLES
def test_trickled_answer_to_a_post_is_aborted_when_hung(
    serve: Callable[[bytes, bytes], _EndlessBench],
    begin: bytes,
    endless: bytes,
) -> None:
    """Guards against a slot held forever by a trickled answer.

    A non-idempotent request is not aborted at its deadline, but only once it
    is hung.
    """
    bench = serve(begin, b'')
    bench.owner_bench.owner.local_backend = type(
        bench.owner_bench.owner.local_backend
    )(hung_s=5)
    bench.owner_bench.call(1, timeout=10)
    bench.run_until(lambda: bench.server.request_received)
    assert bench.trickle(endless, 60) <= 17
    assert [_unknown(result) for result in bench.results()] == [
        states.RefusalReason.DEADLINE_PASSED,
    ]
    assert not bench.running()
    assert not bench.backend.idle


@pytest.mark.parametrize('endless', [b'x', b'\r\n', _OK])
def test_byte_after_an_answer_closes_the_connection(
    serve: Callable[[bytes, bytes], _EndlessBench],
    endless: bytes,
) -> None:
    """Guards against an idle connection with a wrong next answer.

    A byte that arrives after the answer would be parsed as the start of the
    answer to the next request.
    """
    bench = serve(_OK + b'Content-Length: 2\r\n\r\nok', b'')
    bench.owner_bench.call(1)
    bench.run_until(bench.results)
    assert len(bench.backend.idle) == 1
    assert bench.trickle(endless, 10) <= 2
    bench.run_until(lambda: bench.server.closed)
    assert not any(kept.usable for kept in bench.backend.idle)
    assert len(bench.results()) == 1
    assert not bench.running()
