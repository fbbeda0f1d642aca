"""Tests of an owner that is requested to stop."""

from medlarquay import events, states
from medlarquay.tasks.tests import owner_bench

_ANSWER_BY_S = 5
_STEP_S = 0.5
_FINISHED = events.WorkFinished(part=states.NodePart.OWNER)


def test_unfinished_requests_are_ended_at_the_stop_deadline() -> None:
    """Guards against calls that end only when their link is closed.

    The ingress would then have to report all of them as unknown, including
    queued requests that were certainly not run.
    """
    bench = owner_bench.OwnerBench(slots=1)
    bench.call(1, timeout=60)
    bench.call(2, timeout=60)
    bench.owner.post(events.DrainRequested(answer_by=_ANSWER_BY_S))
    bench.wait(_ANSWER_BY_S - _STEP_S)
    assert not bench.outcomes()
    bench.wait(_STEP_S)
    assert bench.outcomes() == {1: 'unknown draining', 2: 'not-run draining'}
    assert bench.lifecycle.of_type(events.WorkFinished) == [_FINISHED]


def test_request_that_finishes_during_a_stop_is_answered() -> None:
    """Guards against requests aborted by a planned stop."""
    bench = owner_bench.OwnerBench(slots=1)
    bench.call(1, timeout=60)
    bench.owner.post(events.DrainRequested(answer_by=_ANSWER_BY_S))
    bench.wait(_ANSWER_BY_S - _STEP_S)
    bench.answer(1)
    assert list(bench.outcomes()) == [1]
    assert bench.lifecycle.of_type(events.WorkFinished) == [_FINISHED]
