"""Check that every request gets one complete and correct answer."""

from collections.abc import Iterator

from bench.soak import node_life, soak_load, soak_record
from bench.soak.checks import finding, finding_kind
from medlarquay import testing

__all__ = ('check_answers',)

_MS_PER_SECOND = 1000
_OK = 200
# Tolerance between the time of a kill and that of its effect on a caller,
# which are recorded by two processes.
_CLOCK_TOLERANCE_S = 0.2
# A stopping node may close a connection while a request is on its way, and then
# does not read it. Node and caller may have to wait for a processor in between,
# up to 0.45 s on a busy machine.
_MAX_CROSSING_S = 1
# A node listens within seconds of its start, also on a busy machine.
_MAX_START_S = 10
# A caller waits 3 s longer than the deadline. If the node was paused for most
# of that time, a missing answer is not a finding.
_EXCUSED_PAUSE_S = 2.5

_Kind = finding_kind.FindingKind


def check_answers(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Yield the requests whose answers break a promise."""
    comparison = testing.compare(
        caller_entries=record.caller_entries, run_entries=record.run_entries
    )
    entries = {entry.request: entry for entry in record.caller_entries}
    run_requests = {run.request for run in record.run_entries}
    if record.stray_answers:
        yield finding.Finding(
            kind=_Kind.STRAY, detail=f'{record.stray_answers}'
        )
    for request in comparison.unanswered:
        if not _was_paused(record, entries[request]):
            yield _build_finding(_Kind.UNANSWERED, record, entries[request])
    for kind, requests in (
        (_Kind.FOREIGN, comparison.foreign),
        (_Kind.TOLD_RUN, comparison.told_run_not_run),
        (_Kind.TOLD_NOT_RUN, comparison.told_not_run_ran),
        (_Kind.TWICE, comparison.ran_twice),
    ):
        for request_id in requests:
            yield _build_finding(kind, record, entries[request_id])
    for entry in record.caller_entries:
        yield from _check_entry(
            record, entry, ran=entry.request in run_requests
        )


def _check_entry(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
    *,
    ran: bool,
) -> Iterator[finding.Finding]:
    if _is_lost(record, entry, ran=ran):
        yield _build_finding(_Kind.LOST, record, entry)
    if _is_unreached(record, entry):
        yield _build_finding(_Kind.UNREACHED, record, entry)
    if not _is_complete(record, entry):
        yield _build_finding(_Kind.NOT_WHOLE, record, entry)


def _is_complete(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
) -> bool:
    if entry.status != _OK:
        return True
    return entry.body_bytes == soak_load.expected_bytes(record.mix_of(entry))


def _is_lost(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
    *,
    ran: bool,
) -> bool:
    """Return whether a connection was lost with neither kill nor stop.

    A request that was still on its way when its stopping node closed the
    connection may be lost, if it did not run. Only requests with a single
    attempt are judged, since the record of the caller does not have the end
    times of earlier attempts.
    """
    if entry.outcomes != ['unknown'] or entry.status:
        return False
    ended_at = _ended_at(entry)
    for life in record.lifetimes_of(record.ingress_of(entry)):
        if _was_killed(life, entry.sent_at, ended_at):
            return False
        crossing = ended_at - entry.sent_at <= _MAX_CROSSING_S
        stopping = 0 < life.asked_at <= ended_at and (
            not life.gone_at or ended_at <= life.gone_at + _CLOCK_TOLERANCE_S
        )
        if crossing and stopping and not ran:
            return False
    return True


def _was_killed(
    life: node_life.NodeLife,
    sent_at: float,
    ended_at: float,
) -> bool:
    """Return whether the kill of a process ended a request.

    A killed process exits only once it is scheduled; its connections stay
    open until then.
    """
    if not life.killed_at or ended_at + _CLOCK_TOLERANCE_S < life.killed_at:
        return False
    return not life.gone_at or sent_at - _CLOCK_TOLERANCE_S <= life.gone_at


def _is_unreached(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
) -> bool:
    """Return whether a running node accepted no connection."""
    if entry.outcomes != ['not-run'] or entry.status:
        return False
    ended_at = _ended_at(entry) + _CLOCK_TOLERANCE_S
    return any(
        life.started_at + _MAX_START_S < entry.sent_at
        and not 0 < life.stop_began_at < ended_at
        for life in record.lifetimes_of(record.ingress_of(entry))
    )


def _was_paused(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
) -> bool:
    lifetimes = record.lifetimes_of(record.ingress_of(entry))
    paused_s = sum(
        life.paused_s(entry.sent_at, _ended_at(entry)) for life in lifetimes
    )
    return paused_s > _EXCUSED_PAUSE_S


def _ended_at(entry: testing.ToldEntry) -> float:
    return entry.sent_at + entry.latency_ms / _MS_PER_SECOND


def _build_finding(
    kind: finding_kind.FindingKind,
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
) -> finding.Finding:
    sent_s = entry.sent_at - record.began_at
    return finding.Finding(
        kind=kind,
        detail=(
            f'{entry.request} sent={sent_s:.2f}'
            f' after_ms={entry.latency_ms:.0f} status={entry.status}'
            f' outcomes={",".join(entry.outcomes)}'
            f' ingress={record.ingress_of(entry)}'
        ),
    )
