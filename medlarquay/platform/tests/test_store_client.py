"""Answers of the platform's store that take long or do not come."""

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
_FOUND = MappingProxyType({'at': 7, 'items': ['x' * 900]})
_BODY = cbor2.dumps(dict(_FOUND))
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(_BODY) + _BODY
_PART = _ANSWER[: len(_ANSWER) // 4]


class _Call:
    """A call to the store whose answer the test delivers in parts."""

    def __init__(self) -> None:
        self.clock = testing.MemoryReactorClock()
        self.running = running_clock.RunningClock(clock=self.clock.seconds)
        self.found: list[Any] = []
        self.failed: list[failure.Failure] = []
        client = store_client.StoreClient(
            reactor=self.clock,
            address=addresses.NodeAddress(host='10.0.0.1', port=80),
            clock=self.clock.seconds,
            running=self.running.seconds,
        )
        reading = client.get('/kv-range', {}, timeout_s=_TIMEOUT_S)
        defer.ensureDeferred(reading).addCallbacks(
            self.found.append,
            self.failed.append,
        )
        factory = self.clock.tcpClients[0][2]
        protocol = factory.buildProtocol(None)
        self.receive: Callable[[bytes], None] = protocol.dataReceived
        protocol.makeConnection(memory_transport.MemoryTransport())

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps, as a clock does."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.running.seconds()


def test_an_answer_that_is_still_arriving_is_waited_for() -> None:
    """Guards against a reader on a slow link that never ends a read."""
    call = _Call()
    for start in range(0, len(_ANSWER), len(_PART)):
        call.pass_time(0.9)
        call.receive(_ANSWER[start : start + len(_PART)])
    assert call.found == [dict(_FOUND)]


def test_an_answer_that_stops_arriving_fails_the_read() -> None:
    """Guards against a read that a silent connection holds for ever."""
    call = _Call()
    call.pass_time(0.5)
    call.receive(_PART)
    call.pass_time(2.1)
    with pytest.raises(errors.SourceError, match='in time'):
        call.failed[0].raiseException()


@pytest.mark.parametrize('begun', [True, False])
def test_a_pause_is_not_the_silence_of_the_store(*, begun: bool) -> None:
    """Guards against a read that fails for what was not read in a pause."""
    call = _Call()
    call.pass_time(0.5)
    if begun:
        call.receive(_PART)
        call.pass_time(0.9)
    call.clock.advance(20)
    # The answer came during the pause and is read after the timers.
    call.receive(_ANSWER[len(_PART) * begun :])
    assert not call.failed
    assert call.found == [dict(_FOUND)]


def test_an_answer_that_arrives_without_end_fails_the_read() -> None:
    """Guards against a read that a trickle of bytes holds for ever."""
    call = _Call()
    call.receive(b'HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n')
    for _ in range(40):
        call.pass_time(0.5)
        call.receive(b' ')
    with pytest.raises(errors.SourceError, match='in time'):
        call.failed[0].raiseException()
