"""A backend server that sends without end, over loopback connections."""

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
_PIECE_BYTES = 16_384
_MAX_TURNS = 5000


@implementer(interfaces.IPullProducer)
class EndlessServer(protocol.Protocol):
    """Answers a request with bytes that end with the connection only."""

    def __init__(self, *, begin: bytes, endless: bytes) -> None:
        self.closed = False
        self.asked = False
        self._begin = begin
        self._endless = endless

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Begin to send without end."""
        self.asked = True
        self.transport.write(self._begin)
        if self._endless:
            self.transport.registerProducer(self, False)  # noqa: FBT003

    def resumeProducing(self) -> None:  # noqa: N802
        """Send more."""
        self.transport.write(self._endless)

    def stopProducing(self) -> None:  # noqa: N802
        """Stop, since the connection is lost."""

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Note that the node closed the connection."""
        self.closed = True


class _Bench:
    """An owner with one slot beside a backend server on loopback."""

    def __init__(self, *, begin: bytes, endless: bytes) -> None:
        self.reactor = selectreactor.SelectReactor()
        self.server = EndlessServer(begin=begin, endless=endless)
        self.port = self.reactor.listenTCP(
            0,
            factories.BuildingFactory(build=lambda: self.server),
            interface='127.0.0.1',
        )
        self.bench = owner_bench.OwnerBench(slots=1)
        self.backend = backend.Backend(
            reactor=self.reactor,
            owner=self.bench.owner,
            host='127.0.0.1',
            port=self.port.getHost().port,
            clock=self.bench.clock.seconds,
        )
        self.bench.owner.backend = self.backend

    def trickle(self, endless: bytes, seconds: int) -> int:
        """Send one byte a second; return how many the node took."""
        for second in range(seconds):
            if self.server.closed:
                return second
            place = second % len(endless)
            self.server.transport.write(endless[place : place + 1])
            for _ in range(4):
                self.reactor.runUntilCurrent()
                self.reactor.doIteration(0.001)
            self.bench.clock.advance(1)
        return seconds

    def until(self, found: Callable[[], object]) -> None:
        """Let the reactor turn until something is found."""
        for _ in range(_MAX_TURNS):
            if found():
                return
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.001)
        raise AssertionError('nothing was found in time')

    def results(self) -> list[object]:
        """Return the results that the ingress was sent."""
        sent = self.bench.links.of_type(events.SendReply)
        return [reply.message for reply in sent]

    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self.bench.owner.admission.running)


@pytest.fixture
def serve() -> Iterator[Callable[[bytes, bytes], _Bench]]:
    """Return a function that starts a server which sends without end."""
    with contextlib.ExitStack() as stack:

        def build(begin: bytes, endless: bytes) -> _Bench:
            made = _Bench(begin=begin, endless=endless)
            stack.callback(made.port.stopListening)
            return made

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
def test_an_answer_without_end_is_unknown_at_once(
    serve: Callable[[bytes, bytes], _Bench],
    begin: bytes,
    endless: bytes,
    reason: states.RefusalReason,
    idempotent: bool,
) -> None:
    """Guards against a slot held, or a lie told, by an endless answer."""
    made = serve(begin, endless * (_PIECE_BYTES // len(endless)))
    made.bench.call(1, idempotent=idempotent)
    assert made.running() == 1
    made.until(made.results)
    assert [_unknown(result) for result in made.results()] == [reason]
    assert not made.running()
    made.until(lambda: made.server.closed)


@pytest.mark.parametrize('begin', [_OK, _OK + b'X: x', _OK + b'\r\nx', b''])
def test_a_slow_answer_without_end_ends_at_the_deadline(
    serve: Callable[[bytes, bytes], _Bench],
    begin: bytes,
) -> None:
    """Guards against a connection kept by a byte now and then."""
    made = serve(begin, b'')
    made.bench.call(1, idempotent=True, timeout=2)
    made.until(lambda: made.server.connected and made.reactor.getReaders())
    made.bench.clock.advance(2.1)
    assert [_unknown(result) for result in made.results()] == [
        states.RefusalReason.DEADLINE_PASSED,
    ]
    assert not made.running()
    made.until(lambda: made.server.closed)


def test_a_slow_answer_to_a_post_frees_its_slot_after_a_while(
    serve: Callable[[bytes, bytes], _Bench],
) -> None:
    """Guards against a slot that a server without end keeps for ever."""
    made = serve(_OK + b'\r\nx', b'')
    made.bench.owner.local_backend = type(made.bench.owner.local_backend)(
        hung_s=0.5
    )
    made.bench.call(1, timeout=2)
    made.until(lambda: made.server.connected)
    made.bench.clock.advance(2.1)
    assert _unknown(made.results()[0]) is states.RefusalReason.DEADLINE_PASSED
    assert made.running() == 1
    made.bench.clock.advance(0.5)
    assert not made.running()
    made.until(lambda: made.server.closed)


def test_bytes_without_end_after_an_answer_hurt_no_other_request(
    serve: Callable[[bytes, bytes], _Bench],
) -> None:
    """Guards against the rest of one answer told to another caller."""
    answer = _OK + b'Content-Length: 2\r\n\r\nok'
    made = serve(answer, answer * (_PIECE_BYTES // len(answer)))
    made.bench.call(1)
    made.until(made.results)
    made.until(lambda: made.server.closed)
    assert len(made.results()) == 1
    result = made.results()[0]
    assert isinstance(result, messages.CallAnswered)
    assert result.body == b'ok'
    assert not made.running()


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
def test_a_byte_a_second_ends_at_the_deadline(
    serve: Callable[[bytes, bytes], _Bench],
    begin: bytes,
    endless: bytes,
) -> None:
    """Guards against a slot and a caller held by an answer without end."""
    made = serve(begin, b'')
    made.bench.call(1, idempotent=True, timeout=10)
    made.until(lambda: made.server.asked)
    assert made.trickle(endless, 60) <= 11
    assert [_unknown(result) for result in made.results()] == [
        states.RefusalReason.DEADLINE_PASSED,
    ]
    assert not made.running()
    assert not made.backend.idle
    assert not made.backend.active


@_TRICKLES
def test_a_byte_a_second_to_a_post_ends_a_while_later(
    serve: Callable[[bytes, bytes], _Bench],
    begin: bytes,
    endless: bytes,
) -> None:
    """Guards against a slot that is held for ever by a trickle."""
    made = serve(begin, b'')
    made.bench.owner.local_backend = type(made.bench.owner.local_backend)(
        hung_s=5
    )
    made.bench.call(1, timeout=10)
    made.until(lambda: made.server.asked)
    assert made.trickle(endless, 60) <= 17
    assert [_unknown(result) for result in made.results()] == [
        states.RefusalReason.DEADLINE_PASSED,
    ]
    assert not made.running()
    assert not made.backend.idle


@pytest.mark.parametrize('endless', [b'x', b'\r\n', _OK])
def test_a_byte_after_an_answer_ends_its_connection(
    serve: Callable[[bytes, bytes], _Bench],
    endless: bytes,
) -> None:
    """Guards against a kept connection whose next answer is not its own."""
    made = serve(_OK + b'Content-Length: 2\r\n\r\nok', b'')
    made.bench.call(1)
    made.until(made.results)
    assert len(made.backend.idle) == 1
    assert made.trickle(endless, 10) <= 2
    made.until(lambda: made.server.closed)
    assert not any(kept.usable for kept in made.backend.idle)
    assert len(made.results()) == 1
    assert not made.running()
