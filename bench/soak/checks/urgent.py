"""Check that small urgent calls meet their deadline on full links."""

from collections.abc import Iterator

from bench.soak import soak_load, soak_record
from bench.soak.checks import finding, finding_kind

__all__ = ('check_urgent',)

_MS_PER_SECOND = 1000
_OK = 200
# P11: in an overload of the least urgent work, at least 99% of urgent work is
# answered within its deadline. One more may miss it, since few are sent.
_MAX_MISSED_SHARE = 0.01
_EXTRA_MISSED = 1


def check_urgent(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Yield one finding if too many urgent calls failed before any fault."""
    last_sent_at = record.began_at + record.plan.fault_free_s
    last_sent_at -= soak_load.LOOKUP_DEADLINE_MS / _MS_PER_SECOND
    sent = [
        entry
        for entry in record.caller_entries
        if entry.mix == soak_load.LOOKUP and entry.sent_at < last_sent_at
    ]
    missed = [
        entry
        for entry in sent
        if entry.status != _OK
        or entry.latency_ms > soak_load.LOOKUP_DEADLINE_MS
    ]
    if len(missed) > len(sent) * _MAX_MISSED_SHARE + _EXTRA_MISSED:
        yield finding.Finding(
            kind=finding_kind.FindingKind.URGENT,
            detail=f'{len(missed)} of {len(sent)}, the first: {missed[0]}',
        )
