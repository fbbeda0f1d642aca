"""When a link reports a frame as sent, and how it closes."""

import array
import contextlib
import fcntl
import socket
import termios
from collections.abc import Iterator

import pytest
from twisted.internet import selectreactor, tcp

from medlarquay import transport
from medlarquay.transport import send_buffer

_LARGE = b'\x82' + bytes(2_000_000)
_SMALL = b'\x82small'
# Header of an unmasked frame with a 64-bit length (RFC 6455).
_FRAME_HEADER_BYTES = 10
_MAX_TURNS = 20_000


class _Pair:
    """Two ends of a link over a loopback connection."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.reactor = selectreactor.SelectReactor()
        self.reports: list[tuple[str, transport.SendReport]] = []
        self.received: list[bytes] = []
        self.near = self._end(transport.Link.accepting, near)
        self.far = self._end(
            lambda **callbacks: transport.Link.connecting(
                path='/calls',
                **callbacks,
            ),
            far,
        )
        self.turn(rounds=20)

    def send(self, name: str, frame: bytes) -> None:
        """Send a frame on the near end and record its send report."""
        self.near.send(
            frame,
            on_sent=lambda report: self.reports.append((name, report)),
        )

    def turn(self, *, rounds: int = 1) -> None:
        """Run iterations of the reactor."""
        for _ in range(rounds):
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.001)

    def unread_bytes(self) -> int:
        """Return how many bytes are unread at the far end."""
        unread = array.array('i', (0,))
        fcntl.ioctl(self.far.transport.getHandle(), termios.FIONREAD, unread)
        return unread[0]

    def turn_until_reported(self, count: int) -> None:
        """Run the reactor until so many frames have been reported."""
        for _ in range(_MAX_TURNS):
            if len(self.reports) >= count:
                return
            self.turn()

    def _end(self, build, opened: socket.socket) -> transport.Link:
        link = build(
            opened=lambda link: None,
            received=lambda link, frame: self.received.append(frame),
            closed=lambda link: None,
        )
        opened.setblocking(False)
        connection = tcp.Connection(opened, link, self.reactor)
        connection.connected = 1
        link.makeConnection(connection)
        connection.startReading()
        return link


@pytest.fixture
def pair() -> Iterator[_Pair]:
    """Return two ends of a link over a loopback connection."""
    listening = socket.create_server(('127.0.0.1', 0))
    with contextlib.closing(listening):
        far = socket.create_connection(listening.getsockname())
        near = listening.accept()[0]
    with contextlib.closing(far), contextlib.closing(near):
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        yield _Pair(near, far)


def test_a_small_frame_on_an_idle_link_is_sent_at_once(pair: _Pair) -> None:
    """Guards against measuring a delay for a frame that was not delayed."""
    pair.send('small', _SMALL)
    name, report = pair.reports[0]
    assert name == 'small'
    assert report == transport.SendReport(
        frame_bytes=len(_SMALL),
        ahead_bytes=0,
        kernel_bytes=None,
        sent=True,
    )


def test_a_frame_is_sent_when_the_kernel_accepted_its_last_byte(
    pair: _Pair,
) -> None:
    """Guards against an answer reported as sent while the node buffers it."""
    pair.far.transport.stopReading()
    pair.send('large', _LARGE)
    ahead = len(_LARGE) + _FRAME_HEADER_BYTES - pair.unread_bytes()
    unacknowledged = send_buffer.kernel_bytes(pair.near.transport)
    pair.send('second', _LARGE)
    pair.turn(rounds=50)
    assert not pair.reports
    pair.far.transport.startReading()
    pair.turn_until_reported(2)
    pair.turn(rounds=50)
    assert [name for name, _ in pair.reports] == ['large', 'second']
    assert pair.received == [_LARGE, _LARGE]
    first, second = (report for _, report in pair.reports)
    assert first.frame_bytes == len(_LARGE)
    assert first.ahead_bytes == 0
    # The kernel holds the rest; bytes that arrived may not be acknowledged yet.
    assert unacknowledged is not None
    assert ahead - unacknowledged <= second.ahead_bytes <= ahead
    assert second.ahead_bytes > len(_LARGE) / 2
    assert first.sent and second.sent
    assert first.kernel_bytes is not None
    assert pair.near.transport.producer is None


def test_a_small_frame_behind_a_full_buffer_is_reported_later(
    pair: _Pair,
) -> None:
    """Guards against reporting a small answer as sent behind a full socket."""
    pair.far.transport.stopReading()
    pair.near.transport.write(b'')
    for number in range(400):
        pair.send(f'{number}', b'\x82' + bytes(16_000))
    waiting = 400 - len(pair.reports)
    assert waiting > 0
    pair.send('last', _SMALL)
    assert pair.reports[-1][0] != 'last'
    pair.far.transport.startReading()
    pair.turn_until_reported(401)
    assert pair.reports[-1][0] == 'last'
    assert len(pair.reports) == 401
    assert pair.reports[-1][1].ahead_bytes >= (waiting - 1) * 16_000


def test_frames_on_a_lost_link_are_reported_as_lost(pair: _Pair) -> None:
    """Guards against a lost answer that no log line reports as lost."""
    pair.far.transport.stopReading()
    pair.send('large', _LARGE)
    pair.turn(rounds=5)
    pair.near.abort()
    pair.turn(rounds=5)
    name, report = pair.reports[0]
    assert (name, report.sent) == ('large', False)
    pair.send('late', _SMALL)
    assert [result.sent for _, result in pair.reports] == [False, False]


def test_graceful_close_tells_that_all_bytes_were_acknowledged(
    pair: _Pair,
) -> None:
    """Guards against a stop that waits for a peer that has all its frames."""
    pair.send('small', _SMALL)
    pair.turn(rounds=20)
    assert pair.near.close_gracefully()
    pair.turn(rounds=20)
    assert pair.far.closed_gracefully_by_peer


def test_graceful_close_delivers_frames_in_transit(pair: _Pair) -> None:
    """Guards against an answer truncated when its owner stops."""
    pair.far.transport.pauseProducing()
    pair.send('large', _LARGE)
    assert not pair.near.close_gracefully()
    pair.far.transport.resumeProducing()
    for _ in range(_MAX_TURNS):
        if pair.far.closed_gracefully_by_peer:
            break
        pair.turn()
    assert pair.received == [_LARGE]
    assert pair.far.closed_gracefully_by_peer
