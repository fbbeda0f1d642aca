"""Tests of the log and histograms of the delivery of answers."""

from collections.abc import Iterator

import logbook
import pytest
from twisted.internet import testing

from medlarquay import events, ids, telemetry
from medlarquay.tasks import caller_listener
from medlarquay.tasks.tests import ingress_bench, uplink_bench
from medlarquay.testing import machine_link

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
_LARGE = 90_000
_BYTES_PER_S = 100_000
_SOCKET_BYTES = 16_384


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect log records."""
    with logbook.TestHandler() as handler:
        yield handler


class DeliveryBench:
    """Listener with one caller on a link of limited bandwidth."""

    def __init__(self) -> None:
        self.reactor = testing.MemoryReactorClock()
        self.router = ingress_bench.Recorder()
        self.histograms = telemetry.Histograms()
        self.machine = machine_link.MachineLink(
            clock=self.reactor,
            bytes_per_s=_BYTES_PER_S,
            socket_bytes=_SOCKET_BYTES,
        )
        self.listener = caller_listener.CallerListener(
            router=self.router,
            reactor=self.reactor,
            clock=self.reactor.seconds,
            histograms=self.histograms,
        )
        self.listener.connections.listen(
            self.reactor,
            host='127.0.0.1',
            port=80,
        )
        factory = self.reactor.tcpServers[0][1]
        self.connection = factory.buildProtocol(None)
        self.wire = machine_link.SharedConnection(link=self.machine)
        self.connection.makeConnection(self.wire)
        self.connection.dataReceived(_GET)

    def answer(self, body: bytes = b'ok', request_id: str = 'a1') -> None:
        """Answer the request of the caller."""
        self.listener.post(
            events.AnswerReady(
                caller=ids.CallerId(1),
                status=200,
                headers=(),
                body=body,
                request_id=request_id,
            ),
        )

    def deliver(self, *, seconds: float) -> None:
        """Send a large answer and close the connection after a time."""
        self.answer(bytes(_LARGE))
        self.machine.run(seconds)
        self.connection.connectionLost()


def test_late_answer_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer logged as sent while its bytes still wait.

    A large answer can wait in the connection of a slow caller.
    """
    bench = DeliveryBench()
    bench.deliver(seconds=1)
    assert len(logged.records) == 1
    line = logged.records[0].message
    assert line.startswith('request=a1 delivery=left bytes=900')
    assert bench.histograms.caller_answer_left.count == 1
    # All bytes but those in the socket buffer have left by then.
    expected = (_LARGE - _SOCKET_BYTES) / _BYTES_PER_S
    greatest = bench.histograms.caller_answer_left.greatest
    assert greatest == pytest.approx(expected, abs=0.05)


def test_answer_lost_with_its_connection_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer that is cut off without a log line."""
    bench = DeliveryBench()
    bench.deliver(seconds=0.3)
    assert len(logged.records) == 1
    assert 'delivery=lost' in logged.records[0].message
    assert 'delivery_ms=300' in logged.records[0].message
    assert not bench.histograms.caller_answer_left.count


def test_answer_on_closed_connection_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer that is dropped without a log line.

    The connection closed before the answer was ready.
    """
    bench = DeliveryBench()
    bench.connection.connectionLost()
    bench.answer()
    assert [record.message for record in logged.records] == [
        'request=a1 delivery=lost bytes=2 ahead_bytes=0 kernel_bytes=-'
        ' delivery_ms=0',
    ]


def test_second_answer_to_a_request_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a duplicate answer that is dropped without a log line."""
    bench = DeliveryBench()
    bench.answer(request_id='a1')
    bench.answer(request_id='a2')
    assert len(logged.records) == 1
    assert 'request=a2 delivery=lost' in logged.records[0].message


def test_prompt_answer_is_not_logged(logged: logbook.TestHandler) -> None:
    """Guards against a second log line for each request under load."""
    bench = DeliveryBench()
    bench.answer()
    assert not logged.records
    assert bench.histograms.caller_answer_left.count == 1


def test_connection_takes_requests_after_a_large_answer(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a connection that stalls after a large answer.

    The node watches the connection until a large answer has left.
    """
    bench = DeliveryBench()
    for _ in range(3):
        bench.answer(bytes(_LARGE))
        bench.machine.run(1)
        bench.connection.dataReceived(_GET)
    received = b''.join(bench.wire.arrived)
    assert received.count(b'HTTP/1.1 200') == 3
    assert bench.histograms.caller_answer_left.count == 3


@pytest.mark.parametrize('length', [10, _LARGE])
def test_result_for_closed_link_is_logged(
    logged: logbook.TestHandler,
    length: int,
) -> None:
    """Guards against a result that is lost without a log line.

    The link to its ingress closed before the result was ready.
    """
    bench = uplink_bench.UplinkBench(ingresses=1)
    bench.ingresses[0].near.connectionLost()
    bench.answer(0, 1, length, request_id='a1')
    assert len(logged.records) == 1
    assert 'request=a1 delivery=lost' in logged.records[0].message


def test_refusal_on_slow_connection_is_delivered_whole() -> None:
    """Guards against an answer that is cut off while its caller reads it.

    The connection closes after the refusal of a malformed request.
    """
    bench = DeliveryBench()
    bench.answer()
    bench.connection.dataReceived(b'malformed')
    bench.answer(bytes(4 * _LARGE))
    bench.machine.run(4)
    received = b''.join(bench.wire.arrived)
    assert len(received) >= 4 * _LARGE
    bench.machine.run(2.1)
    assert bench.wire.disconnecting
