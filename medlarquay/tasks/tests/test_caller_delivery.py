"""What is recorded of the way of an answer to its caller."""

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
    """Collect the lines that are logged."""
    with logbook.TestHandler() as handler:
        yield handler


class DeliveryBench:
    """A listener with one caller behind a link with a rate."""

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
        self.wire = machine_link.SharedConnection(machine=self.machine)
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
        """Answer, and let the caller's connection end after a time."""
        self.answer(bytes(_LARGE))
        self.machine.run(seconds)
        self.connection.connectionLost()


def test_an_answer_that_the_caller_takes_late_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer logged as told while its bytes wait."""
    bench = DeliveryBench()
    bench.deliver(seconds=1)
    assert len(logged.records) == 1
    line = logged.records[0].message
    assert line.startswith('request=a1 delivery=left bytes=900')
    assert bench.histograms.caller_answer_left.count == 1
    # All but one socket has left by then.
    expected = (_LARGE - _SOCKET_BYTES) / _BYTES_PER_S
    found = bench.histograms.caller_answer_left.greatest
    assert found == pytest.approx(expected, abs=0.05)


def test_an_answer_that_ends_with_its_connection_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer cut off at the caller without a line."""
    bench = DeliveryBench()
    bench.deliver(seconds=0.3)
    assert len(logged.records) == 1
    assert 'delivery=lost' in logged.records[0].message
    assert 'delivery_ms=300' in logged.records[0].message
    assert not bench.histograms.caller_answer_left.count


def test_an_answer_after_the_end_of_its_connection_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer that goes nowhere without a line."""
    bench = DeliveryBench()
    bench.connection.connectionLost()
    bench.answer()
    assert [record.message for record in logged.records] == [
        'request=a1 delivery=lost bytes=2 ahead_bytes=0 kernel_bytes=-'
        ' delivery_ms=0',
    ]


def test_a_second_answer_to_one_request_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against an answer that is dropped without a line."""
    bench = DeliveryBench()
    bench.answer(request_id='a1')
    bench.answer(request_id='a2')
    assert len(logged.records) == 1
    assert 'request=a2 delivery=lost' in logged.records[0].message


def test_a_prompt_answer_is_counted_only(logged: logbook.TestHandler) -> None:
    """Guards against a second line for each request under load."""
    bench = DeliveryBench()
    bench.answer()
    assert not logged.records
    assert bench.histograms.caller_answer_left.count == 1


def test_a_large_answer_goes_on_to_the_next_request(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a connection that stops after a watched answer."""
    bench = DeliveryBench()
    for _ in range(3):
        bench.answer(bytes(_LARGE))
        bench.machine.run(1)
        bench.connection.dataReceived(_GET)
    received = b''.join(bench.wire.arrived)
    assert received.count(b'HTTP/1.1 200') == 3
    assert bench.histograms.caller_answer_left.count == 3


@pytest.mark.parametrize('length', [10, _LARGE])
def test_a_result_for_a_link_that_has_closed_is_logged(
    logged: logbook.TestHandler,
    length: int,
) -> None:
    """Guards against a run without a trace of its lost answer."""
    bench = uplink_bench.UplinkBench(ingresses=1)
    bench.ingresses[0].near.connectionLost()
    bench.answer(0, 1, length, request_id='a1')
    assert len(logged.records) == 1
    assert 'request=a1 delivery=lost' in logged.records[0].message


def test_a_refusal_on_a_slow_connection_arrives_whole() -> None:
    """Guards against an answer cut off while its caller still takes it."""
    bench = DeliveryBench()
    bench.answer()
    bench.connection.dataReceived(b'malformed')
    bench.answer(bytes(4 * _LARGE))
    bench.machine.run(4)
    received = b''.join(bench.wire.arrived)
    assert len(received) >= 4 * _LARGE
    bench.machine.run(2.1)
    assert bench.wire.disconnecting
