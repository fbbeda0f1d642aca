"""Check that a leaving backend server gets no new work."""

from collections.abc import Iterator

from bench.soak import faults, soak_record
from bench.soak.checks import finding, finding_kind

__all__ = ('check_leaving',)

# Target of P9: a change is in force on all nodes within this time.
_PROPAGATION_S = 5


def check_leaving(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Yield the runs that began at a leaving backend server too late.

    Skips a leave that overlaps with another fault (document changes do not
    count), since the fault may keep the new instance list from the nodes.
    """
    for leave in record.plan.faults:
        if isinstance(leave, faults.Leave) and not _overlaps(record, leave):
            yield from _late_runs(record, leave)


def _late_runs(
    record: soak_record.SoakRecord,
    leave: faults.Leave,
) -> Iterator[finding.Finding]:
    for run in record.run_entries:
        began_s = run.started_at - record.began_at
        late = leave.at + _PROPAGATION_S < began_s < leave.end
        if late and run.backend == leave.name:
            yield finding.Finding(
                kind=finding_kind.FindingKind.LEAVING,
                detail=f'{leave} began {run.request} at {began_s:.2f}',
            )


def _overlaps(record: soak_record.SoakRecord, leave: faults.Leave) -> bool:
    return any(
        other is not leave
        and not isinstance(other, faults.Change)
        and other.at < leave.end
        and max(other.at, other.end) + _PROPAGATION_S > leave.at
        for other in record.plan.faults
    )
