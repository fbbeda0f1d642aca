"""Tests of the log and histograms of the delivery of results."""

from collections.abc import Iterator

import logbook
import pytest
from twisted.internet import task as twisted_task

from medlarquay import events, ids, telemetry, transport
from medlarquay.tasks import answer_delivery
from medlarquay.tasks.tests import owner_bench

_LARGE = 90_000


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect log records."""
    with logbook.TestHandler() as handler:
        yield handler


class DeliveryBench:
    """Delivery of a result on a fake clock."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.histograms = telemetry.Histograms()

    def deliver(
        self,
        *,
        frame_bytes: int,
        seconds: float,
        whole: bool = True,
        request_id: str = 'a1',
    ) -> None:
        """Deliver or lose a result after a time."""
        delivery = answer_delivery.AnswerDelivery(
            request_id=request_id,
            ingress=ids.InstanceId('10.0.0.9'),
            sent_at=self.clock.seconds(),
            clock=self.clock.seconds,
            histograms=self.histograms,
        )
        self.clock.advance(seconds)
        delivery.finish(
            transport.SendReport(
                frame_bytes=frame_bytes,
                ahead_bytes=5000,
                kernel_bytes=700 if whole else None,
                sent=whole,
            ),
        )


def test_large_result_is_logged_after_delivery(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a run logged as answered while its result still waits.

    A large result can wait in the link to its ingress for seconds.
    """
    bench = DeliveryBench()
    bench.deliver(frame_bytes=_LARGE, seconds=4.3)
    assert [record.message for record in logged.records] == [
        'request=a1 delivery=left ingress=10.0.0.9 bytes=90000'
        ' ahead_bytes=5000 kernel_bytes=700 delivery_ms=4300',
    ]
    assert bench.histograms.answer_left.greatest == pytest.approx(4.3)
    assert bench.histograms.link_ahead.greatest == 5000


def test_small_late_result_is_logged(logged: logbook.TestHandler) -> None:
    """Guards against a small result that waits for seconds without a log."""
    DeliveryBench().deliver(frame_bytes=60, seconds=1.3)
    assert 'delivery=left' in logged.records[0].message


def test_result_lost_with_its_link_is_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a result that is lost without a log line."""
    bench = DeliveryBench()
    bench.deliver(frame_bytes=60, seconds=0, whole=False)
    assert 'delivery=lost' in logged.records[0].message
    assert not bench.histograms.answer_left.count


def test_small_prompt_result_is_not_logged(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a second log line for each request under load."""
    bench = DeliveryBench()
    bench.deliver(frame_bytes=60, seconds=0.01)
    bench.deliver(frame_bytes=_LARGE, seconds=0, request_id='')
    assert not logged.records
    assert bench.histograms.answer_left.count == 2


def test_results_have_the_id_of_their_request(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a delivery in the log without its request id."""
    bench = owner_bench.OwnerBench()
    bench.owner.local_backend.names = transport.HeaderNames(
        request_id=b'request-timeout-ms',
    )
    bench.call(1)
    bench.answer(1)
    bench.call(2, timeout=0)
    replies = bench.links.of_type(events.SendReply)
    assert [reply.request_id for reply in replies] == ['1', '1']
    assert bench.counters.histograms.run.count == 1
    assert 'reason=deadline_passed' in logged.records[-1].message
