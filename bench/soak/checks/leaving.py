"""A leaving backend server gets no new work after the bound."""

from collections.abc import Iterator

from bench.soak import faults, soak_record
from bench.soak.checks import finding, finding_kind

__all__ = ('check_leaving',)

# The target of P9: a change is in force everywhere by then.
_BOUND_S = 5


def check_leaving(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Return the runs that a leaving backend server began too late.

    Only times count in which nothing else kept the notice from the nodes.
    """
    for leave in record.plan.faults:
        if isinstance(leave, faults.Leave) and not _disturbed(record, leave):
            yield from _late_runs(record, leave)


def _late_runs(
    record: soak_record.SoakRecord,
    leave: faults.Leave,
) -> Iterator[finding.Finding]:
    for run in record.run_entries:
        began = run.started_at - record.began_at
        late = leave.at + _BOUND_S < began < leave.end
        if late and run.backend == leave.name:
            yield finding.Finding(
                kind=finding_kind.FindingKind.LEAVING,
                detail=f'{leave} began {run.request} at {began:.2f}',
            )


def _disturbed(record: soak_record.SoakRecord, leave: faults.Leave) -> bool:
    return any(
        other is not leave
        and not isinstance(other, faults.Change)
        and other.at < leave.end
        and max(other.at, other.end) + _BOUND_S > leave.at
        for other in record.plan.faults
    )
