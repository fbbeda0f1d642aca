"""Tests of the checks, with one record for each violation."""

import dataclasses
import signal
from collections.abc import Callable

import pytest

from bench.soak import (
    checks,
    faults,
    node_life,
    run_checks,
    soak_load,
    soak_plan,
    soak_record,
)
from medlarquay import testing

_ADDRESSES = ('a:1', 'b:2')
_NAMES = ('press-archive-0', 'editorial-desk-1')
_DESK = 'editorial-desk-1'
_BEGAN_AT = 1000.0


def _build_record() -> soak_record.SoakRecord:
    nodes = dict(zip(_NAMES, _ADDRESSES, strict=True))
    plan = soak_plan.SoakPlan(
        seed=7,
        seconds=30,
        names=list(_NAMES),
        fault_free_s=8,
        faults=[],
    )
    return soak_record.SoakRecord(
        plan=plan,
        load=soak_load.build_load(
            seed=7,
            seconds=30,
            last_version=2,
            nodes=nodes,
        ),
        began_at=_BEGAN_AT,
        names_by_address=dict(zip(_ADDRESSES, _NAMES, strict=True)),
        lifetimes=[
            node_life.NodeLife(name=name, started_at=_BEGAN_AT - 15)
            for name in _NAMES
        ],
        caller_entries=[],
        run_entries=[],
    )


def _add_entry(
    record: soak_record.SoakRecord,
    mix: str,
    *,
    number: int = 0,
    **fields: object,
) -> testing.ToldEntry:
    entry = testing.ToldEntry(
        request=f'7-{mix}-{number}',
        mix=mix,
        key='',
        idempotent=True,
        sent_at=_BEGAN_AT + 10,
        latency_ms=1500,
        outcomes=['unknown'],
    )
    for name, content in fields.items():
        setattr(entry, name, content)
    record.caller_entries.append(entry)
    return entry


def _add_run(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
    state: str = 'completed',
) -> None:
    record.run_entries.append(
        testing.RunEntry(
            request=entry.request,
            key='',
            target='/',
            started_at=entry.sent_at,
            ended_at=entry.sent_at,
            state=state,
            backend=_DESK,
        ),
    )


def _add_answer(
    record: soak_record.SoakRecord, mix: str, **fields: object
) -> None:
    size = soak_load.expected_bytes(
        next(
            load_mix for load_mix in record.load.mixes if load_mix.name == mix
        ),
    )
    fields = {'body_bytes': size, **fields}
    _add_run(
        record,
        _add_entry(record, mix, status=200, outcomes=['run'], **fields),
    )


def _killed_node(record: soak_record.SoakRecord) -> None:
    record.lifetimes_of(_DESK)[0].killed_at = _BEGAN_AT + 11.4
    record.lifetimes_of(_DESK)[0].gone_at = _BEGAN_AT + 11.5
    _add_entry(record, 'bundle')


def _killed_before_request(record: soak_record.SoakRecord) -> None:
    _killed_node(record)
    record.lifetimes_of(_DESK)[0].killed_at = _BEGAN_AT + 8
    record.lifetimes_of(_DESK)[0].gone_at = _BEGAN_AT + 8.1


def _lost_answer(record: soak_record.SoakRecord) -> None:
    life = record.lifetimes_of(_DESK)[0]
    life.asked_at = _BEGAN_AT + 9
    life.gone_at = _BEGAN_AT + 11.4
    _add_entry(record, 'bundle')


def _lost_with_a_run(record: soak_record.SoakRecord) -> None:
    _lost_answer(record)
    record.caller_entries[0].latency_ms = 50
    _add_run(record, record.caller_entries[0])


def _unanswered(record: soak_record.SoakRecord) -> None:
    _add_entry(record, 'bundle', outcomes=['none'])


def _unreached(record: soak_record.SoakRecord) -> None:
    _add_entry(record, 'bundle', outcomes=['not-run'])


def _incomplete(record: soak_record.SoakRecord) -> None:
    _add_answer(record, 'bundle', body_bytes=80000)


def _foreign(record: soak_record.SoakRecord) -> None:
    _add_answer(record, 'bundle', foreign=True)


def _stray(record: soak_record.SoakRecord) -> None:
    record.stray_answers = 1


def _told_run(record: soak_record.SoakRecord) -> None:
    _add_answer(record, 'bundle')
    record.run_entries.clear()


def _told_not_run(record: soak_record.SoakRecord) -> None:
    entry = _add_entry(record, 'bundle', status=429, outcomes=['not-run'])
    _add_run(record, entry)


def _ran_twice(record: soak_record.SoakRecord) -> None:
    _add_answer(record, 'note', idempotent=False)
    record.run_entries *= 2


def _reverted_version(record: soak_record.SoakRecord) -> None:
    _add_answer(record, 'probe-2')
    _add_answer(record, 'probe-1', sent_at=_BEGAN_AT + 12)


def _leaving(record: soak_record.SoakRecord) -> None:
    leave = faults.Leave(at=4, end=12, name=_DESK)
    record.plan.faults.append(leave)
    _add_answer(record, 'bundle')


def _late_stop(record: soak_record.SoakRecord) -> None:
    record.lifetimes[0].asked_at = _BEGAN_AT
    record.lifetimes[0].gone_at = _BEGAN_AT + 9


def _exited(record: soak_record.SoakRecord) -> None:
    record.lifetimes[0].gone_at = _BEGAN_AT


def _late_urgent_calls(record: soak_record.SoakRecord) -> None:
    for number in range(2):
        _add_answer(
            record,
            'lookup',
            number=number,
            sent_at=_BEGAN_AT,
            latency_ms=1500,
        )


def _unready(record: soak_record.SoakRecord) -> None:
    record.unready_reason = 'not ready'


@pytest.mark.parametrize(
    ('add_violation', 'kind'),
    [
        (_lost_answer, checks.FindingKind.LOST),
        (_lost_with_a_run, checks.FindingKind.LOST),
        (_killed_before_request, checks.FindingKind.LOST),
        (_unanswered, checks.FindingKind.UNANSWERED),
        (_unreached, checks.FindingKind.UNREACHED),
        (_incomplete, checks.FindingKind.NOT_WHOLE),
        (_foreign, checks.FindingKind.FOREIGN),
        (_stray, checks.FindingKind.STRAY),
        (_told_run, checks.FindingKind.TOLD_RUN),
        (_told_not_run, checks.FindingKind.TOLD_NOT_RUN),
        (_ran_twice, checks.FindingKind.TWICE),
        (_reverted_version, checks.FindingKind.REVERTED),
        (_leaving, checks.FindingKind.LEAVING),
        (_late_stop, checks.FindingKind.LATE_STOP),
        (_exited, checks.FindingKind.EXITED),
        (_late_urgent_calls, checks.FindingKind.URGENT),
        (_unready, checks.FindingKind.UNREADY),
    ],
)
def test_broken_promise_is_reported(
    add_violation: Callable[[soak_record.SoakRecord], None],
    kind: checks.FindingKind,
) -> None:
    """Guards against a check that misses its violation or reports another."""
    record = _build_record()
    add_violation(record)
    assert {finding.kind for finding in run_checks.run_checks(record)} == {kind}


def _exited_late_after_kill(record: soak_record.SoakRecord) -> None:
    _killed_node(record)
    record.lifetimes_of(_DESK)[0].killed_at = _BEGAN_AT + 9.5


def _refused_after_stop(record: soak_record.SoakRecord) -> None:
    _unreached(record)
    record.lifetimes_of(_DESK)[0].asked_at = _BEGAN_AT + 7
    record.lifetimes_of(_DESK)[0].gone_at = _BEGAN_AT + 11


def _crossed_stop(record: soak_record.SoakRecord) -> None:
    _lost_answer(record)
    record.caller_entries[0].latency_ms = 50


def _stopped_at_start(record: soak_record.SoakRecord) -> None:
    life = record.lifetimes[0]
    life.started_at = _BEGAN_AT + 10
    life.asked_at = _BEGAN_AT + 10.1
    life.gone_at = _BEGAN_AT + 10.2
    life.exit_code = -signal.SIGTERM


def _newer_version(record: soak_record.SoakRecord) -> None:
    _add_answer(record, 'probe-1')
    _add_answer(record, 'probe-2', sent_at=_BEGAN_AT + 12)


def _restarted(record: soak_record.SoakRecord) -> None:
    _reverted_version(record)
    first = record.lifetimes[0]
    first.asked_at = _BEGAN_AT + 11
    first.gone_at = _BEGAN_AT + 11.55
    restarted = dataclasses.replace(
        first,
        started_at=_BEGAN_AT + 11.6,
        asked_at=0,
        gone_at=0,
    )
    record.lifetimes.append(restarted)


def _leaving_with_source_down(record: soak_record.SoakRecord) -> None:
    _leaving(record)
    source_down = faults.SourceFault(at=5, end=8, harm=faults.SourceHarm.DOWN)
    record.plan.faults.append(source_down)


@pytest.mark.parametrize(
    'add_allowed_event',
    [
        _killed_node,
        _exited_late_after_kill,
        _refused_after_stop,
        _stopped_at_start,
        _crossed_stop,
        _newer_version,
        _restarted,
        _leaving_with_source_down,
    ],
)
def test_allowed_event_is_not_reported(
    add_allowed_event: Callable[[soak_record.SoakRecord], None],
) -> None:
    """Guards against findings for events that the promises allow."""
    record = _build_record()
    add_allowed_event(record)
    assert not run_checks.run_checks(record)
