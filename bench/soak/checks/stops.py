"""A node ends when it is asked to, in time, and not by itself."""

import signal
from collections.abc import Iterator

from bench.soak import node_life, soak_record, topology
from bench.soak.checks import finding, finding_kind

__all__ = ('check_stops',)

# The users' platform kills a process about a second after the drain deadline
# that it was given.
_MARGIN_S = 1
_START_S = 10


def check_stops(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Return the lifetimes that ended late or unasked."""
    if record.unready_reason:
        yield finding.Finding(
            kind=finding_kind.FindingKind.UNREADY,
            detail=record.unready_reason,
        )
    for life in record.lifetimes:
        kind = _judge(life)
        if kind is not None:
            yield finding.Finding(kind=kind, detail=_describe(record, life))


def _judge(life: node_life.NodeLife) -> finding_kind.FindingKind | None:
    if life.asked_at:
        end = life.killed_at or life.gone_at or float('inf')
        allowed_s = topology.DRAIN_S + life.paused_s(life.asked_at, end)
        if end - life.asked_at > allowed_s + _MARGIN_S:
            return finding_kind.FindingKind.LATE_STOP
    if life.gone_at and not life.killed_at:
        if not life.asked_at or (life.exit_code and not _was_starting(life)):
            return finding_kind.FindingKind.EXITED
    return None


def _was_starting(life: node_life.NodeLife) -> bool:
    """Return whether SIGTERM ended a process that did not handle it yet.

    A node installs its handler before it takes a request.
    """
    started = life.asked_at - life.started_at < _START_S
    return started and life.exit_code == -signal.SIGTERM


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
    told = ' '.join(
        f'{event}={moment - record.began_at:.2f}'
        for event, moment in times.items()
        if moment
    )
    return f'{life.name} {told} exit_code={life.exit_code}'
