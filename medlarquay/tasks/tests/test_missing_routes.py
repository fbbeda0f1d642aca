"""Tests of the answers to requests for which the node has no route."""

import math

import pytest

from medlarquay import events, ids, ingress
from medlarquay.tasks.tests import ingress_bench


def _send_request(
    bench: ingress_bench.IngressBench,
    target: bytes,
) -> events.AnswerReady:
    """Send a request for a host without routes; return the answer."""
    bench.router.post(
        events.RequestReceived(
            caller=ids.CallerId(1),
            method=b'POST',
            target=target,
            headers=((b'host', b'other.team'),),
            body=b'',
        ),
    )
    return ingress_bench.only(bench.take_answers())


@pytest.mark.parametrize('target', [b'/new/', b'/.medlarquay/request-keys'])
@pytest.mark.parametrize(
    ('confirmed_ago', 'status'),
    [(0, 404), (3.4, 404), (3.6, 503), (math.inf, 503)],
)
def test_missing_route_is_answered_503_by_a_stale_node(
    confirmed_ago: float,
    status: int,
    target: bytes,
) -> None:
    """Guards against 404 for a route that a stale node does not have yet.

    In a simulated day the nodes of a region that had received nothing for
    seconds answered 92 requests on a new route with 404.
    """
    bench = ingress_bench.IngressBench(ingress_bench.backend('a1'))
    bench.router.settings = ingress.IngressSettings(sends_retry_after=True)
    bench.clock.advance(10)
    bench.router.post(
        events.FreshnessConfirmed(
            confirmed_at=bench.clock.seconds() - confirmed_ago,
        ),
    )
    answer = _send_request(bench, target)
    assert answer.status == status
    headers = dict(answer.headers)
    assert (b'retry-after' in headers) == (status == 503)
    assert headers[b'medlarquay-outcome'] == b'not-run'


def test_missing_route_is_answered_503_before_first_confirmation() -> None:
    """Guards against 404 from a node whose data was never confirmed."""
    bench = ingress_bench.IngressBench(ingress_bench.backend('a1'))
    assert _send_request(bench, b'/new/').status == 503
