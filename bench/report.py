"""Tables of what callers were told against what backend servers ran."""

import collections

from medlarquay import testing

__all__ = ('show', 'show_differences')

_OUTCOMES = ('run', 'not-run', 'unknown', 'none')
_SHOWN = 5


def show(
    told: list[testing.ToldEntry],
    ran: list[testing.RunEntry],
) -> int:
    """Print the table; return 1 when the records differ, else 0."""
    runs = collections.Counter(entry.request for entry in ran)
    print(f'{"requests":<12}{"told":<10}{"count":>7}{"ran":>7}{"twice":>7}')
    for mix in sorted({entry.mix for entry in told}):
        for outcome in _OUTCOMES:
            _show_row(
                mix,
                outcome,
                [
                    runs[entry.request]
                    for entry in told
                    if entry.mix == mix and entry.told == outcome
                ],
            )
    _show_reasons(told)
    result = testing.compare(told=told, ran=ran)
    show_differences(result)
    return int(result.differences > 0)


def show_differences(result: testing.Comparison) -> None:
    """Print the number of each difference with some of the requests."""
    for name in (
        'told_run_not_run',
        'told_not_run_ran',
        'ran_twice',
        'unanswered',
        'foreign',
    ):
        found = getattr(result, name)
        shown = ' '.join(found[:_SHOWN])
        print(f'{name}={len(found)} {shown}'.rstrip())


def _show_row(mix: str, outcome: str, runs: list[int]) -> None:
    if runs:
        ran = sum(1 for count in runs if count)
        twice = sum(1 for count in runs if count > 1)
        print(f'{mix:<12}{outcome:<10}{len(runs):>7}{ran:>7}{twice:>7}')


def _show_reasons(told: list[testing.ToldEntry]) -> None:
    reasons = collections.Counter(
        entry.reason for entry in told if entry.reason
    )
    for reason, count in reasons.most_common():
        print(f'reason {reason}: {count}')
