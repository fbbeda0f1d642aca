"""Each check of the soak sees the fault that it is there for."""

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
_BEGAN = 1000.0


def _record() -> soak_record.SoakRecord:
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
        began_at=_BEGAN,
        names_by_address=dict(zip(_ADDRESSES, _NAMES, strict=True)),
        lifetimes=[
            node_life.NodeLife(name=name, started_at=_BEGAN - 15)
            for name in _NAMES
        ],
        caller_entries=[],
        run_entries=[],
    )


def _tell(
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
        sent_at=_BEGAN + 10,
        latency_ms=1500,
        outcomes=['unknown'],
    )
    for name, content in fields.items():
        setattr(entry, name, content)
    record.caller_entries.append(entry)
    return entry


def _run(
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


def _answer(record: soak_record.SoakRecord, mix: str, **fields: object) -> None:
    size = soak_load.expected_bytes(
        next(found for found in record.load.mixes if found.name == mix),
    )
    fields = {'body_bytes': size, **fields}
    _run(
        record,
        _tell(record, mix, status=200, outcomes=['run'], **fields),
    )


def _killed(record: soak_record.SoakRecord) -> None:
    record.lifetimes_of(_DESK)[0].killed_at = _BEGAN + 11.4
    record.lifetimes_of(_DESK)[0].gone_at = _BEGAN + 11.5
    _tell(record, 'bundle')


def _killed_before(record: soak_record.SoakRecord) -> None:
    _killed(record)
    record.lifetimes_of(_DESK)[0].killed_at = _BEGAN + 8
    record.lifetimes_of(_DESK)[0].gone_at = _BEGAN + 8.1


def _lost(record: soak_record.SoakRecord) -> None:
    life = record.lifetimes_of(_DESK)[0]
    life.asked_at = _BEGAN + 9
    life.gone_at = _BEGAN + 11.4
    _tell(record, 'bundle')


def _lost_with_a_run(record: soak_record.SoakRecord) -> None:
    _lost(record)
    record.caller_entries[0].latency_ms = 50
    _run(record, record.caller_entries[0])


def _unanswered(record: soak_record.SoakRecord) -> None:
    _tell(record, 'bundle', outcomes=['none'])


def _unreached(record: soak_record.SoakRecord) -> None:
    _tell(record, 'bundle', outcomes=['not-run'])


def _half(record: soak_record.SoakRecord) -> None:
    _answer(record, 'bundle', body_bytes=80000)


def _foreign(record: soak_record.SoakRecord) -> None:
    _answer(record, 'bundle', foreign=True)


def _stray(record: soak_record.SoakRecord) -> None:
    record.stray_answers = 1


def _told_run(record: soak_record.SoakRecord) -> None:
    _answer(record, 'bundle')
    record.run_entries.clear()


def _told_not_run(record: soak_record.SoakRecord) -> None:
    entry = _tell(record, 'bundle', status=429, outcomes=['not-run'])
    _run(record, entry)


def _twice(record: soak_record.SoakRecord) -> None:
    _answer(record, 'note', idempotent=False)
    record.run_entries *= 2


def _reverted(record: soak_record.SoakRecord) -> None:
    _answer(record, 'probe-2')
    _answer(record, 'probe-1', sent_at=_BEGAN + 12)


def _leaving(record: soak_record.SoakRecord) -> None:
    leave = faults.Leave(at=4, end=12, name=_DESK)
    record.plan.faults.append(leave)
    _answer(record, 'bundle')


def _late_stop(record: soak_record.SoakRecord) -> None:
    record.lifetimes[0].asked_at = _BEGAN
    record.lifetimes[0].gone_at = _BEGAN + 9


def _crashed(record: soak_record.SoakRecord) -> None:
    record.lifetimes[0].gone_at = _BEGAN


def _slow(record: soak_record.SoakRecord) -> None:
    for number in range(2):
        _answer(
            record,
            'lookup',
            number=number,
            sent_at=_BEGAN,
            latency_ms=1500,
        )


def _unready(record: soak_record.SoakRecord) -> None:
    record.unready_reason = 'not ready'


@pytest.mark.parametrize(
    ('spoil', 'kind'),
    [
        (_lost, checks.FindingKind.LOST),
        (_lost_with_a_run, checks.FindingKind.LOST),
        (_killed_before, checks.FindingKind.LOST),
        (_unanswered, checks.FindingKind.UNANSWERED),
        (_unreached, checks.FindingKind.UNREACHED),
        (_half, checks.FindingKind.NOT_WHOLE),
        (_foreign, checks.FindingKind.FOREIGN),
        (_stray, checks.FindingKind.STRAY),
        (_told_run, checks.FindingKind.TOLD_RUN),
        (_told_not_run, checks.FindingKind.TOLD_NOT_RUN),
        (_twice, checks.FindingKind.TWICE),
        (_reverted, checks.FindingKind.REVERTED),
        (_leaving, checks.FindingKind.LEAVING),
        (_late_stop, checks.FindingKind.LATE_STOP),
        (_crashed, checks.FindingKind.EXITED),
        (_slow, checks.FindingKind.URGENT),
        (_unready, checks.FindingKind.UNREADY),
    ],
)
def test_a_broken_promise_is_found(
    spoil: Callable[[soak_record.SoakRecord], None],
    kind: checks.FindingKind,
) -> None:
    """Guards against a check that passes whatever happens."""
    record = _record()
    spoil(record)
    assert {found.kind for found in run_checks.run_checks(record)} == {kind}


def _killed_late(record: soak_record.SoakRecord) -> None:
    _killed(record)
    record.lifetimes_of(_DESK)[0].killed_at = _BEGAN + 9.5


def _stopped(record: soak_record.SoakRecord) -> None:
    _unreached(record)
    record.lifetimes_of(_DESK)[0].asked_at = _BEGAN + 7
    record.lifetimes_of(_DESK)[0].gone_at = _BEGAN + 11


def _crossed(record: soak_record.SoakRecord) -> None:
    _lost(record)
    record.caller_entries[0].latency_ms = 50


def _asked_at_start(record: soak_record.SoakRecord) -> None:
    life = record.lifetimes[0]
    life.started_at = _BEGAN + 10
    life.asked_at = _BEGAN + 10.1
    life.gone_at = _BEGAN + 10.2
    life.exit_code = -signal.SIGTERM


def _newer(record: soak_record.SoakRecord) -> None:
    _answer(record, 'probe-1')
    _answer(record, 'probe-2', sent_at=_BEGAN + 12)


def _restarted(record: soak_record.SoakRecord) -> None:
    _reverted(record)
    first = record.lifetimes[0]
    first.asked_at = _BEGAN + 11
    first.gone_at = _BEGAN + 11.55
    begun = dataclasses.replace(
        first,
        started_at=_BEGAN + 11.6,
        asked_at=0,
        gone_at=0,
    )
    record.lifetimes.append(begun)


def _disturbed(record: soak_record.SoakRecord) -> None:
    _leaving(record)
    down = faults.SourceFault(at=5, end=8, harm=faults.SourceHarm.DOWN)
    record.plan.faults.append(down)


@pytest.mark.parametrize(
    'allow',
    [
        _killed,
        _killed_late,
        _stopped,
        _asked_at_start,
        _crossed,
        _newer,
        _restarted,
        _disturbed,
    ],
)
def test_what_the_promises_allow_is_no_finding(
    allow: Callable[[soak_record.SoakRecord], None],
) -> None:
    """Guards against findings that are no fault of a node."""
    record = _record()
    allow(record)
    assert not run_checks.run_checks(record)
