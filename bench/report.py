"""Prints what callers were told compared with what backend servers ran."""

import collections

from medlarquay import testing

__all__ = ('print_comparison', 'print_differences')

_OUTCOMES = ('run', 'not-run', 'unknown', 'none')
_MAX_REQUESTS = 5


def print_comparison(
    caller_entries: list[testing.ToldEntry],
    run_entries: list[testing.RunEntry],
) -> int:
    """Print a table of outcomes, the refusal reasons and the differences.

    The table counts, for each mix and each outcome that callers were told, the
    requests, those that ran, and those that ran more than once.

    Parameters
    ----------
    caller_entries : list of ToldEntry
        What callers were told, one entry per request.
    run_entries : list of RunEntry
        What backend servers ran, one entry per run.

    Returns
    -------
    int
        1 when the records differ, else 0.
    """
    run_counts = collections.Counter(entry.request for entry in run_entries)
    print(f'{"requests":<12}{"told":<10}{"count":>7}{"ran":>7}{"twice":>7}')
    for mix in sorted({entry.mix for entry in caller_entries}):
        for outcome in _OUTCOMES:
            _print_row(
                mix,
                outcome,
                [
                    run_counts[entry.request]
                    for entry in caller_entries
                    if entry.mix == mix and entry.told == outcome
                ],
            )
    _print_reasons(caller_entries)
    result = testing.compare(
        caller_entries=caller_entries, run_entries=run_entries
    )
    print_differences(result)
    return int(result.differences > 0)


def print_differences(result: testing.Comparison) -> None:
    """Print the number of requests with each kind of difference.

    Prints the ids of up to five of them as well.
    """
    for name in (
        'told_run_not_run',
        'told_not_run_ran',
        'ran_twice',
        'unanswered',
        'foreign',
    ):
        requests = getattr(result, name)
        examples = ' '.join(requests[:_MAX_REQUESTS])
        print(f'{name}={len(requests)} {examples}'.rstrip())


def _print_row(mix: str, outcome: str, run_counts: list[int]) -> None:
    if run_counts:
        ran = sum(1 for count in run_counts if count)
        twice = sum(1 for count in run_counts if count > 1)
        print(f'{mix:<12}{outcome:<10}{len(run_counts):>7}{ran:>7}{twice:>7}')


def _print_reasons(caller_entries: list[testing.ToldEntry]) -> None:
    reasons = collections.Counter(
        entry.reason for entry in caller_entries if entry.reason
    )
    for reason, count in reasons.most_common():
        print(f'reason {reason}: {count}')
