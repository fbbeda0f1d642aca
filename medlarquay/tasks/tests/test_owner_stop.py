"""An owner that is asked to stop."""

from medlarquay import events, states
from medlarquay.tasks.tests import owner_bench

_ANSWER_BY_S = 5
_STEP_S = 0.5
_FINISHED = events.WorkFinished(part=states.NodePart.OWNER)


def test_what_is_left_at_the_end_of_a_stop_is_told_to_the_ingress() -> None:
    """Guards against a link reset with its calls, told as unknown."""
    bench = owner_bench.OwnerBench(slots=1)
    bench.call(1, timeout=60)
    bench.call(2, timeout=60)
    bench.owner.post(events.DrainRequested(answer_by=_ANSWER_BY_S))
    bench.wait(_ANSWER_BY_S - _STEP_S)
    assert not bench.told()
    bench.wait(_STEP_S)
    assert bench.told() == {1: 'unknown draining', 2: 'not-run draining'}
    assert bench.lifecycle.of_type(events.WorkFinished) == [_FINISHED]


def test_a_run_that_ends_in_time_is_answered_while_stopping() -> None:
    """Guards against work broken off by a planned stop."""
    bench = owner_bench.OwnerBench(slots=1)
    bench.call(1, timeout=60)
    bench.owner.post(events.DrainRequested(answer_by=_ANSWER_BY_S))
    bench.wait(_ANSWER_BY_S - _STEP_S)
    bench.answer(1)
    assert list(bench.told()) == [1]
    assert bench.lifecycle.of_type(events.WorkFinished) == [_FINISHED]
