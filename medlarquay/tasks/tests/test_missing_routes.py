"""Answers to requests for which the node knows no route."""

import math

import pytest

from medlarquay import events, ids, ingress
from medlarquay.tasks.tests import ingress_bench


def _ask(
    bench: ingress_bench.IngressBench,
    target: bytes,
) -> events.AnswerReady:
    """Return the answer to a request for a host without routes."""
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
def test_a_missing_route_is_not_denied_by_stale_data(
    confirmed_ago: float,
    status: int,
    target: bytes,
) -> None:
    """Guards against 404 for a route that was added a while ago.

    In a played day the nodes of a region that had read nothing for seconds
    answered 92 requests on a new route with 404.
    """
    bench = ingress_bench.IngressBench(ingress_bench.backend('a1'))
    bench.router.settings = ingress.IngressSettings(sends_retry_after=True)
    bench.clock.advance(10)
    bench.router.post(
        events.FreshnessConfirmed(
            confirmed_at=bench.clock.seconds() - confirmed_ago,
        ),
    )
    answer = _ask(bench, target)
    assert answer.status == status
    fields = dict(answer.headers)
    assert (b'retry-after' in fields) == (status == 503)
    assert fields[b'medlarquay-outcome'] == b'not-run'


def test_a_node_that_was_not_confirmed_denies_no_route() -> None:
    """Guards against 404 by a node that no one has confirmed yet."""
    bench = ingress_bench.IngressBench(ingress_bench.backend('a1'))
    assert _ask(bench, b'/new/').status == 503
