"""Comparison of the records of callers and backend servers."""

import collections
import dataclasses
from collections.abc import Iterable

from medlarquay.testing import run_entry, told_entry

__all__ = ('Comparison', 'compare')


@dataclasses.dataclass(slots=True, kw_only=True)
class Comparison:
    """Requests whose records at callers and backend servers contradict.

    Attributes
    ----------
    requests : int
        Number of requests compared.
    told : Counter
        Number of requests by the outcome that their caller received.
    told_run_not_run : list of str
        Requests with outcome ``run`` that no backend server completed or
        answered as expired.
    told_not_run_ran : list of str
        Requests with outcome ``not-run`` that a backend server started.
    ran_twice : list of str
        Requests with an idempotency key or a non-idempotent method that
        were started more than once.
    unanswered : list of str
        Requests with neither an answer nor a lost connection before the
        deadline.
    foreign : list of str
        Requests that received the answer to another request.
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
        """Number of requests reported as run but not run, or unanswered."""
        return len(self.told_run_not_run) + len(self.unanswered)

    @property
    def differences(self) -> int:
        """Number of contradictions between the records."""
        return (
            self.lost
            + len(self.told_not_run_ran)
            + len(self.ran_twice)
            + len(self.foreign)
        )


def compare(
    *,
    caller_entries: Iterable[told_entry.ToldEntry],
    run_entries: Iterable[run_entry.RunEntry],
) -> Comparison:
    """Compare the records of callers and backend servers.

    Parameters
    ----------
    caller_entries : iterable of ToldEntry
        Records of the callers.
    run_entries : iterable of RunEntry
        Records of the backend servers.

    Returns
    -------
    Comparison
        Contradictions between the records.
    """
    runs: dict[str, list[run_entry.RunEntry]] = collections.defaultdict(list)
    for entry in run_entries:
        runs[entry.request].append(entry)
    result = Comparison()
    for caller_entry in caller_entries:
        _compare_request(
            caller_entry, runs.get(caller_entry.request, []), result
        )
    return result


def _compare_request(
    caller_entry: told_entry.ToldEntry,
    runs: list[run_entry.RunEntry],
    result: Comparison,
) -> None:
    result.requests += 1
    result.told[caller_entry.told] += 1
    # The backend server answers 504 to a run that its deadline ends.
    answered_runs = [
        run for run in runs if run.state in {'completed', 'expired'}
    ]
    if caller_entry.told == 'run' and not answered_runs:
        result.told_run_not_run.append(caller_entry.request)
    if caller_entry.told == 'not-run' and runs:
        result.told_not_run_ran.append(caller_entry.request)
    if caller_entry.told == 'none':
        result.unanswered.append(caller_entry.request)
    if len(runs) > 1 and (caller_entry.key or not caller_entry.idempotent):
        result.ran_twice.append(caller_entry.request)
    if caller_entry.foreign:
        result.foreign.append(caller_entry.request)
