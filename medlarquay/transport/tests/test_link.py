"""Links between nodes, over an in-memory pair of transports."""

import os

from twisted.internet.testing import StringTransport

from medlarquay import transport
from medlarquay.transport import fragment

_SMALL = b'\x82small'


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
            opened=lambda found: None,
            received=lambda found, frame: self.received.append(frame),
            closed=lambda found: None,
        )
        link.makeConnection(_Transport())
        return link


def _resume(pair: _Pair) -> None:
    if pair.client.transport.producer is not None:
        pair.client.resumeProducing()


def test_small_frame_overtakes_a_large_one() -> None:
    """Guards against head-of-line blocking behind a large answer."""
    pair = _Pair()
    large = b'\x82' + os.urandom(fragment.FRAGMENT_BYTES * 3)
    pair.client.send(large)
    _resume(pair)
    pair.client.send(_SMALL)
    while pair.client.transport.producer is not None:
        _resume(pair)
    pair.exchange()
    assert pair.received == [_SMALL, large]


def test_large_frames_share_the_link_in_turn() -> None:
    """Guards against two large answers assembled into one another."""
    pair = _Pair()
    first = b'\x82' + b'a' * fragment.FRAGMENT_BYTES * 4
    second = b'\x82' + b'b' * fragment.FRAGMENT_BYTES
    pair.client.send(first)
    pair.client.send(second)
    while pair.client.transport.producer is not None:
        _resume(pair)
    pair.exchange()
    assert pair.received == [second, first]


def test_oversized_stream_closes_the_link() -> None:
    """Guards against a peer that claims memory without bound."""
    pair = _Pair()
    part = fragment.Fragment(
        stream=1,
        last=False,
        content=b'x' * (fragment.FRAGMENT_BYTES // 2),
    )
    for _ in range(140):
        pair.client.send(part.encode())
        pair.exchange()
    assert pair.server.transport.disconnected
    assert not pair.received
