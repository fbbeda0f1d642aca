"""Links between nodes, over an in-memory pair of transports."""

import os

from twisted.internet.testing import StringTransport

from medlarquay import ids, states, transport
from medlarquay.transport import fragment

_SMALL = b'\x82small'
_PART_BYTES = 32768
# Large frames that a receiver accepts in progress at the same time.
_STREAMS = 256


class _Transport(StringTransport):
    """String transport with the TCP option that links set."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""


class _Pair:
    """Two ends of a link joined by string transports."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.lost = 0
        self.server = self._end(transport.Link.accepting)
        self.client = self._end(
            lambda **callbacks: transport.Link.connecting(
                path='/calls',
                **callbacks,
            ),
        )
        self.exchange()

    def exchange(self, *, rounds: int = 4) -> None:
        """Carry what each end wrote to the other."""
        for _ in range(rounds):
            for source, target in (
                (self.client, self.server),
                (self.server, self.client),
            ):
                written = source.transport.value()
                source.transport.clear()
                if written:
                    target.dataReceived(written)

    def _end(self, build) -> transport.Link:
        link = build(
            opened=lambda link: None,
            received=lambda link, frame: self.received.append(frame),
            closed=lambda link: None,
        )
        link.makeConnection(_Transport())
        return link


def _parts(stream: int, frame: bytes) -> list[bytes]:
    """Return a large frame in fragments."""
    starts = range(0, len(frame), _PART_BYTES)
    return [
        fragment.Fragment(
            stream=ids.StreamId(stream),
            kind=(
                states.FragmentKind.PART
                if start + _PART_BYTES < len(frame)
                else states.FragmentKind.LAST
            ),
            content=frame[start : start + _PART_BYTES],
        ).encode()
        for start in starts
    ]


def test_small_frame_overtakes_a_large_one() -> None:
    """Guards against head-of-line blocking behind a large answer."""
    pair = _Pair()
    large = b'\x82' + os.urandom(_PART_BYTES * 3)
    first, *rest = _parts(1, large)
    for frame in (first, _SMALL, *rest):
        pair.client.send(frame)
    pair.exchange()
    assert pair.received == [_SMALL, large]


def test_interleaved_large_frames_are_kept_apart() -> None:
    """Guards against fragments of two large answers assembled into one."""
    pair = _Pair()
    first = b'\x82' + b'a' * _PART_BYTES * 4
    second = b'\x82' + b'b' * _PART_BYTES
    opening, *rest = _parts(1, first)
    for frame in (opening, *_parts(2, second), *rest):
        pair.client.send(frame)
    pair.exchange()
    assert pair.received == [second, first]


def test_an_aborted_frame_is_discarded() -> None:
    """Guards against memory leaked for answers that their sender dropped."""
    pair = _Pair()
    aborted = fragment.Fragment(
        stream=ids.StreamId(1),
        kind=states.FragmentKind.ABORT,
        content=b'',
    ).encode()
    large = b'\x82' + b'a' * _PART_BYTES * 4
    for _ in range(_STREAMS + 1):
        for frame in (*_parts(1, large)[:-1], aborted):
            pair.client.send(frame)
        pair.exchange()
    # The stream number may be reused.
    for frame in (aborted, *_parts(1, large)):
        pair.client.send(frame)
    pair.exchange()
    assert pair.received == [large]


def test_a_fragment_of_an_unknown_kind_closes_the_link() -> None:
    """Guards against delivering a frame without its end."""
    pair = _Pair()
    pair.client.send(bytes((0, 0, 0, 0, 1, 3)) + b'x')
    pair.exchange()
    assert pair.server.transport.disconnected
    assert not pair.received


def test_oversized_stream_closes_the_link() -> None:
    """Guards against a peer that claims unbounded memory."""
    pair = _Pair()
    part = fragment.Fragment(
        stream=ids.StreamId(1),
        kind=states.FragmentKind.PART,
        content=b'x' * (_PART_BYTES // 2),
    )
    for _ in range(140):
        pair.client.send(part.encode())
        pair.exchange()
    assert pair.server.transport.disconnected
    assert not pair.received
