"""Tests of the comparison of callers' and backend servers' records."""

import pytest

from medlarquay import testing


def _told(*outcomes: str, key: str = 'k', foreign: bool = False):
    return testing.ToldEntry(
        request='1',
        mix='approve',
        key=key,
        idempotent=False,
        sent_at=0,
        outcomes=list(outcomes),
        foreign=foreign,
    )


def _run(state: str = 'completed'):
    return testing.RunEntry(
        request='1',
        key='k',
        target='/',
        started_at=0,
        state=state,
    )


@pytest.mark.parametrize(
    ('told', 'ran', 'field'),
    [
        (_told('run'), [], 'told_run_not_run'),
        (_told('run'), [_run('cancelled')], 'told_run_not_run'),
        (_told('not-run'), [_run()], 'told_not_run_ran'),
        (_told('not-run'), [_run('running')], 'told_not_run_ran'),
        (_told('unknown', 'run'), [_run(), _run()], 'ran_twice'),
        (_told('unknown'), [_run(), _run()], 'ran_twice'),
        (_told('run', key=''), [_run(), _run()], 'ran_twice'),
        (_told('none'), [_run()], 'unanswered'),
        (_told(), [], 'unanswered'),
        (_told('run', foreign=True), [_run()], 'foreign'),
    ],
)
def test_each_difference_is_found(told, ran, field) -> None:
    """Guards against a benchmark that passes with contradicting records."""
    comparison = testing.compare(caller_entries=[told], run_entries=ran)
    assert getattr(comparison, field) == ['1']
    assert comparison.differences == 1


@pytest.mark.parametrize(
    ('told', 'ran'),
    [
        (_told('run'), [_run()]),
        (_told('run'), [_run('expired')]),
        (_told('not-run'), []),
        (_told('unknown'), []),
        (_told('unknown'), [_run('running')]),
        # An unknown attempt outweighs a later one that did not run.
        (_told('unknown', 'not-run'), [_run()]),
    ],
)
def test_consistent_records_have_no_difference(told, ran) -> None:
    """Guards against a benchmark that fails with consistent records."""
    assert not testing.compare(
        caller_entries=[told], run_entries=ran
    ).differences


def test_run_entry_survives_encoding_and_decoding() -> None:
    """Guards against printed entries that cannot be read after a kill."""
    entry = _run('cancelled')
    assert testing.RunEntry.from_line(entry.to_line()) == entry
