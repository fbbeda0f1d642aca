"""Check that nodes exit by the drain deadline, and only when stopped."""

import signal
from collections.abc import Iterator

from bench.soak import node_life, soak_record, topology
from bench.soak.checks import finding, finding_kind

__all__ = ('check_stops',)

# The users' platform kills a process about 1 s after the drain deadline that
# it was given.
_KILL_GRACE_S = 1
_MAX_START_S = 10


def check_stops(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Yield findings for nodes that ended late, by themselves or in failure."""
    if record.unready_reason:
        yield finding.Finding(
            kind=finding_kind.FindingKind.UNREADY,
            detail=record.unready_reason,
        )
    for life in record.lifetimes:
        kind = _find_violation(life)
        if kind is not None:
            yield finding.Finding(kind=kind, detail=_describe(record, life))


def _find_violation(
    life: node_life.NodeLife,
) -> finding_kind.FindingKind | None:
    if life.asked_at:
        end = life.killed_at or life.gone_at or float('inf')
        allowed_s = topology.DRAIN_S + life.paused_s(life.asked_at, end)
        if end - life.asked_at > allowed_s + _KILL_GRACE_S:
            return finding_kind.FindingKind.LATE_STOP
    if life.gone_at and not life.killed_at:
        if not life.asked_at or (life.exit_code and not _was_starting(life)):
            return finding_kind.FindingKind.EXITED
    return None


def _was_starting(life: node_life.NodeLife) -> bool:
    """Return whether SIGTERM ended a process that had no handler yet.

    A node installs its handler before it accepts a request, so no request is
    lost.
    """
    recently_started = life.asked_at - life.started_at < _MAX_START_S
    return recently_started and life.exit_code == -signal.SIGTERM


def _describe(
    record: soak_record.SoakRecord,
    life: node_life.NodeLife,
) -> str:
    times = {
        'started': life.started_at,
        'asked': life.asked_at,
        'killed': life.killed_at,
        'gone': life.gone_at,
    }
    event_times = ' '.join(
        f'{event}={moment - record.began_at:.2f}'
        for event, moment in times.items()
        if moment
    )
    return f'{life.name} {event_times} exit_code={life.exit_code}'
