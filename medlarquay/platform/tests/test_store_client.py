"""Tests of slow and missing answers of the platform's store."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import cbor2
import pytest
from twisted.internet import defer, testing
from twisted.python import failure

from medlarquay import addresses, errors
from medlarquay.platform import store_client
from medlarquay.tasks import running_clock
from medlarquay.testing import memory_transport

_TIMEOUT_S = 1.0
_CONTENT = MappingProxyType({'at': 7, 'items': ['x' * 900]})
_BODY = cbor2.dumps(dict(_CONTENT))
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(_BODY) + _BODY
_PART = _ANSWER[: len(_ANSWER) // 4]


class _Call:
    """Pending call to the store; the test delivers its answer in parts."""

    def __init__(self) -> None:
        self.clock = testing.MemoryReactorClock()
        self.running = running_clock.RunningClock(clock=self.clock.seconds)
        self.contents: list[Any] = []
        self.failures: list[failure.Failure] = []
        client = store_client.StoreClient(
            reactor=self.clock,
            address=addresses.NodeAddress(host='10.0.0.1', port=80),
            clock=self.clock.seconds,
            running=self.running.seconds,
        )
        reading = client.get('/kv-range', {}, timeout_s=_TIMEOUT_S)
        defer.ensureDeferred(reading).addCallbacks(
            self.contents.append,
            self.failures.append,
        )
        factory = self.clock.tcpClients[0][2]
        protocol = factory.buildProtocol(None)
        self.receive: Callable[[bytes], None] = protocol.dataReceived
        protocol.makeConnection(memory_transport.MemoryTransport())

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in steps short enough not to count as a pause."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.running.seconds()


def test_slow_answer_is_read_while_bytes_arrive() -> None:
    """Guards against a read on a slow link that always times out.

    Each part arrives within the idle timeout, the whole answer later.
    """
    call = _Call()
    for start in range(0, len(_ANSWER), len(_PART)):
        call.pass_time(0.9)
        call.receive(_ANSWER[start : start + len(_PART)])
    assert call.contents == [dict(_CONTENT)]


def test_stalled_answer_fails_the_read() -> None:
    """Guards against a read that hangs when the store stops sending."""
    call = _Call()
    call.pass_time(0.5)
    call.receive(_PART)
    call.pass_time(2.1)
    with pytest.raises(errors.SourceError, match='in time'):
        call.failures[0].raiseException()


@pytest.mark.parametrize('is_started', [True, False])
def test_pause_of_the_process_does_not_fail_the_read(
    *, is_started: bool
) -> None:
    """Guards against a read that times out because the process was paused."""
    call = _Call()
    call.pass_time(0.5)
    if is_started:
        call.receive(_PART)
        call.pass_time(0.9)
    call.clock.advance(20)
    # The answer arrived during the pause and is read after the timers ran.
    call.receive(_ANSWER[len(_PART) * is_started :])
    assert not call.failures
    assert call.contents == [dict(_CONTENT)]


def test_endless_trickle_fails_the_read() -> None:
    """Guards against a read that hangs on an endless trickle of bytes."""
    call = _Call()
    call.receive(b'HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n')
    for _ in range(40):
        call.pass_time(0.5)
        call.receive(b' ')
    with pytest.raises(errors.SourceError, match='in time'):
        call.failures[0].raiseException()
