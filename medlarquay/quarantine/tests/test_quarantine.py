"""Crash suspects against stated outcomes."""

import json
import pathlib

import pytest

from medlarquay import ids, messages, quarantine
from medlarquay.quarantine.tests import fleet

_TRACES = pathlib.Path(__file__).parent / 'traces'
_SERVICE = ids.ServiceName('ordertake')


def _run(name: str, *, guarded: bool) -> fleet.Fleet:
    trace = json.loads((_TRACES / name).read_text())
    found = fleet.Fleet(trace, guarded=guarded)
    found.run()
    return found


def _ask(
    state: quarantine.Quarantine,
    number: int,
    name: bytes,
    now: float = 0,
) -> quarantine.Decision:
    event = quarantine.StartAsked(
        exchange=ids.ExchangeId(number),
        fingerprint=ids.Fingerprint(name),
    )
    return quarantine.decide(event, state, now)


def _report(
    state: quarantine.Quarantine,
    name: bytes,
    crash: str,
    now: float = 0,
) -> None:
    event = messages.CrashSuspected(
        service=_SERVICE,
        fingerprint=ids.Fingerprint(name),
        crash_id=crash,
        only_suspect=False,
    )
    quarantine.decide(event, state, now)


@pytest.mark.parametrize(
    'name',
    ['poison_resent.json', 'poison_with_late_reports.json'],
)
def test_poison_is_stopped_after_two_crashes(name: str) -> None:
    """Guards against a poison request that crashes server after server."""
    plain = _run(name, guarded=False)
    guarded = _run(name, guarded=True)
    assert plain.crashes == 6
    assert guarded.crashes == 2
    assert set(guarded.refused) == {ids.Fingerprint(b'poison')}
    assert len(guarded.finished) == 400


def test_suspects_run_one_at_a_time() -> None:
    """Guards against blaming a neighbour for a second crash."""
    state = quarantine.Quarantine(service=_SERVICE)
    _report(state, b'p', 'x/1')
    _report(state, b'n', 'x/1')
    assert _ask(state, 1, b'p') == (quarantine.Permit(),)
    assert _ask(state, 2, b'n') == (quarantine.Hold(),)
    assert _ask(state, 3, b'other') == (quarantine.Permit(),)


def test_one_crash_is_counted_once() -> None:
    """Guards against a quarantine for a report that arrived twice."""
    state = quarantine.Quarantine(service=_SERVICE)
    _report(state, b'p', 'x/1')
    _report(state, b'p', 'x/1')
    assert _ask(state, 1, b'p') == (quarantine.Permit(),)
    quarantine.decide(
        quarantine.Stopped(
            exchange=ids.ExchangeId(1),
            fingerprint=ids.Fingerprint(b'p'),
        ),
        state,
        0,
    )
    _report(state, b'p', 'y/1')
    assert _ask(state, 2, b'p', now=599) == (quarantine.Refuse(),)
    assert _ask(state, 3, b'p', now=601) == (quarantine.Permit(),)


def test_two_suspects_of_the_same_crashes_are_not_refused() -> None:
    """Guards against refusing a neighbour because reports were late."""
    state = quarantine.Quarantine(service=_SERVICE)
    for crash in ('x/1', 'y/1'):
        _report(state, b'p', crash)
        _report(state, b'n', crash)
    assert _ask(state, 1, b'n') == (quarantine.Permit(),)
    assert _ask(state, 2, b'p') == (quarantine.Hold(),)


def test_recently_completed_request_is_no_suspect() -> None:
    """Guards against holding a lookup that runs many times a second."""
    state = quarantine.Quarantine(service=_SERVICE)
    lookup = ids.Fingerprint(b'lookup')
    done = quarantine.Completed(
        exchange=ids.ExchangeId(1),
        fingerprint=lookup,
    )
    quarantine.decide(done, state, 0)
    crashed = quarantine.BackendCrashed(
        crash='own/1',
        in_flight={
            ids.ExchangeId(2): lookup,
            ids.ExchangeId(3): ids.Fingerprint(b'new'),
        },
    )
    reported = quarantine.decide(crashed, state, 1)
    assert [entry.message.fingerprint for entry in reported] == [b'new']
