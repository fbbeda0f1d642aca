"""Comparison of what callers were told with what backend servers ran."""

import collections
import dataclasses
from collections.abc import Iterable

from medlarquay.testing import run_entry, told_entry

__all__ = ('Comparison', 'compare')


@dataclasses.dataclass(slots=True, kw_only=True)
class Comparison:
    """Requests for which the callers' and the backend servers' records differ.

    Attributes
    ----------
    requests : int
        Requests compared.
    told : Counter
        Requests by what their caller was told.
    told_run_not_run : list of str
        Told run, but no backend server completed it.
    told_not_run_ran : list of str
        Told not run, but a backend server started it.
    ran_twice : list of str
        Keyed or non-idempotent, but started more than once.
    unanswered : list of str
        Neither an answer nor a lost connection before the deadline.
    foreign : list of str
        Answered with the answer to another request.
    """

    requests: int = 0
    told: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    told_run_not_run: list[str] = dataclasses.field(default_factory=list)
    told_not_run_ran: list[str] = dataclasses.field(default_factory=list)
    ran_twice: list[str] = dataclasses.field(default_factory=list)
    unanswered: list[str] = dataclasses.field(default_factory=list)
    foreign: list[str] = dataclasses.field(default_factory=list)

    @property
    def lost(self) -> int:
        """Requests that were told run and did not, or had no answer."""
        return len(self.told_run_not_run) + len(self.unanswered)

    @property
    def differences(self) -> int:
        """Requests for which the records differ."""
        return (
            self.lost
            + len(self.told_not_run_ran)
            + len(self.ran_twice)
            + len(self.foreign)
        )


def compare(
    *,
    told: Iterable[told_entry.ToldEntry],
    ran: Iterable[run_entry.RunEntry],
) -> Comparison:
    """Compare the records of callers and backend servers.

    Returns
    -------
    Comparison
    """
    runs: dict[str, list[run_entry.RunEntry]] = collections.defaultdict(list)
    for entry in ran:
        runs[entry.request].append(entry)
    result = Comparison()
    for answer in told:
        _count(answer, runs.get(answer.request, []), result)
    return result


def _count(
    answer: told_entry.ToldEntry,
    runs: list[run_entry.RunEntry],
    result: Comparison,
) -> None:
    result.requests += 1
    result.told[answer.told] += 1
    # A run that its deadline ended was answered 504 by the backend server.
    answered = [run for run in runs if run.state in {'completed', 'expired'}]
    if answer.told == 'run' and not answered:
        result.told_run_not_run.append(answer.request)
    if answer.told == 'not-run' and runs:
        result.told_not_run_ran.append(answer.request)
    if answer.told == 'none':
        result.unanswered.append(answer.request)
    if len(runs) > 1 and (answer.key or not answer.idempotent):
        result.ran_twice.append(answer.request)
    if answer.foreign:
        result.foreign.append(answer.request)
