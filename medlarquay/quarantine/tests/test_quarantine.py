"""Crash suspects, quarantine and expiry."""

import json
import pathlib

import pytest

from medlarquay import ids, messages, quarantine
from medlarquay.quarantine.tests import fleet

_TRACES = pathlib.Path(__file__).parent / 'traces'
_SERVICE = ids.ServiceName('ordertake')


def _run(name: str, *, quarantine_enabled: bool) -> fleet.Fleet:
    trace = json.loads((_TRACES / name).read_text())
    simulated = fleet.Fleet(trace, quarantine_enabled=quarantine_enabled)
    simulated.run()
    return simulated


def _ask(
    state: quarantine.Quarantine,
    number: int,
    name: bytes,
    now: float = 0,
) -> quarantine.Decision:
    event = quarantine.StartRequested(
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
def test_poison_request_is_refused_after_two_crashes(name: str) -> None:
    """Guards against a poison request that crashes one server after another.

    Its caller resends it after each crash, each time to another owner.
    """
    unprotected = _run(name, quarantine_enabled=False)
    protected = _run(name, quarantine_enabled=True)
    assert unprotected.crashes == 6
    assert protected.crashes == 2
    assert set(protected.refused) == {ids.Fingerprint(b'poison')}
    assert len(protected.finished) == 400


def test_suspects_run_one_at_a_time() -> None:
    """Guards against a second crash that is attributed to a wrong request.

    Two suspects in flight at the same crash cannot be distinguished.
    """
    state = quarantine.Quarantine(service=_SERVICE)
    _report(state, b'p', 'x/1')
    _report(state, b'n', 'x/1')
    assert _ask(state, 1, b'p') == (quarantine.Permit(),)
    assert _ask(state, 2, b'n') == (quarantine.Hold(),)
    assert _ask(state, 3, b'other') == (quarantine.Permit(),)


def test_one_crash_is_counted_once() -> None:
    """Guards against a quarantine because one report arrived twice."""
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
    """Guards against an unrelated request refused because reports were late.

    Until a report arrives, other owners run both suspects at the same time.
    """
    state = quarantine.Quarantine(service=_SERVICE)
    for crash in ('x/1', 'y/1'):
        _report(state, b'p', crash)
        _report(state, b'n', crash)
    assert _ask(state, 1, b'n') == (quarantine.Permit(),)
    assert _ask(state, 2, b'p') == (quarantine.Hold(),)


def test_recently_completed_request_is_no_suspect() -> None:
    """Guards against delays of a request that runs many times a second."""
    state = quarantine.Quarantine(service=_SERVICE)
    lookup = ids.Fingerprint(b'lookup')
    completed = quarantine.Completed(
        exchange=ids.ExchangeId(1),
        fingerprint=lookup,
    )
    quarantine.decide(completed, state, 0)
    crashed = quarantine.BackendCrashed(
        crash_id='own/1',
        in_flight={
            ids.ExchangeId(2): lookup,
            ids.ExchangeId(3): ids.Fingerprint(b'new'),
        },
    )
    reported = quarantine.decide(crashed, state, 1)
    assert [entry.message.fingerprint for entry in reported] == [b'new']
