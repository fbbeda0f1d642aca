"""Small urgent calls stay fast on a full link."""

from collections.abc import Iterator

from bench.soak import soak_load, soak_record
from bench.soak.checks import finding, finding_kind

__all__ = ('check_urgent',)

_MS_PER_SECOND = 1000
_OK = 200
# P11: in an overload of the least urgent work at least 99% of urgent work
# within its deadline. One more may miss it, since few are sent.
_MISSED_SHARE = 0.01
_MISSED_MORE = 1


def check_urgent(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Return one finding if too many urgent calls failed before any fault."""
    until = record.began_at + record.plan.fault_free_s
    until -= soak_load.LOOKUP_MS / _MS_PER_SECOND
    sent = [
        entry
        for entry in record.caller_entries
        if entry.mix == soak_load.LOOKUP and entry.sent_at < until
    ]
    missed = [
        entry
        for entry in sent
        if entry.status != _OK or entry.latency_ms > soak_load.LOOKUP_MS
    ]
    if len(missed) > len(sent) * _MISSED_SHARE + _MISSED_MORE:
        yield finding.Finding(
            kind=finding_kind.FindingKind.URGENT,
            detail=f'{len(missed)} of {len(sent)}, the first: {missed[0]}',
        )
