"""Transitions of the ledger, one event at a time."""

import math
import uuid

import pytest

from medlarquay import events, ids, keys, ledger, states
from medlarquay.ledger import bounds

_INSTANCE = ids.InstanceId('own')
_INCARNATION = ids.Incarnation('1f')
_WALL = 1_700_000_000
_SMALL = ledger.RecordedAnswer(status=201, headers=(), body=b'ok')
_LARGE = ledger.RecordedAnswer(
    status=200,
    headers=(),
    body=bytes(bounds.MAX_ANSWER_BYTES + 1),
)
_REASON = states.RefusalReason


def _new_ledger(*, confirmed_at: float | None = 0) -> ledger.Ledger:
    state = ledger.Ledger(instance=_INSTANCE, incarnation=_INCARNATION)
    listed = ledger.BackendsReplaced(instances=frozenset((_INSTANCE,)))
    ledger.decide(listed, state, 0, _WALL)
    if confirmed_at is not None:
        _confirm(state, confirmed_at)
    return state


def _confirm(state: ledger.Ledger, now: float) -> None:
    event = events.FreshnessConfirmed(confirmed_at=now)
    ledger.decide(event, state, now, _WALL + now)


def _confirm_until(state: ledger.Ledger, until: int) -> None:
    for now in range(1, until + 1):
        _confirm(state, now)


def _bound_key(incarnation: str = _INCARNATION, *, issued_at: float = 0) -> str:
    run = ids.Incarnation(incarnation)
    return keys.issue_key(
        instance=_INSTANCE,
        incarnation=run,
        issued_at=_WALL + issued_at,
    )


def _timed_key(created_at: float) -> str:
    timestamp_ms = int((_WALL + created_at) * 1000)
    return str(uuid.UUID(int=timestamp_ms << 80 | 7 << 76 | 2 << 62))


def _receive(
    state: ledger.Ledger,
    key: str,
    *,
    now: float = 1,
    fingerprint: bytes = b'f',
) -> ledger.Decision | None:
    event = ledger.KeyReceived(
        key=keys.parse_key(key),
        fingerprint=ids.Fingerprint(fingerprint),
        exchange=ids.ExchangeId(5),
    )
    return ledger.decide(event, state, now, _WALL + now)


def _apply(state: ledger.Ledger, event: object, now: float = 1) -> None:
    ledger.decide(event, state, now, _WALL + now)


def test_resent_request_waits_then_replays() -> None:
    """Guards against a second run of a request that its caller resends."""
    state = _new_ledger()
    key = _bound_key()
    assert _receive(state, key) == ledger.Proceed()
    assert _receive(state, key) == ledger.Wait(exchange=ids.ExchangeId(5))
    _apply(state, ledger.Answered(key=ids.RequestKey(key), answer=_SMALL))
    assert _receive(state, key) == ledger.Replay(answer=_SMALL)


def test_large_answer_is_reported_as_dropped() -> None:
    """Guards against unbounded memory for answers, or a second run instead."""
    state = _new_ledger()
    key = _bound_key()
    _receive(state, key)
    _apply(state, ledger.Answered(key=ids.RequestKey(key), answer=_LARGE))
    assert _receive(state, key) == ledger.ReportDropped()
    assert state.answer_bytes == 0


def test_unknown_outcome_stays_unknown() -> None:
    """Guards against the outcome "not run" for a request that may have run."""
    state = _new_ledger()
    key = ids.RequestKey(_bound_key())
    _receive(state, key)
    reason = _REASON.BACKEND_LOST
    _apply(state, ledger.OutcomeLost(key=key, reason=reason))
    assert _receive(state, key) == ledger.ReportUnknown(reason=reason)


def test_released_key_may_run_later() -> None:
    """Guards against a key that stays blocked after its request was refused."""
    state = _new_ledger()
    key = ids.RequestKey(_bound_key())
    _receive(state, key)
    _apply(state, ledger.KeyReleased(key=key))
    assert _receive(state, key) == ledger.Proceed()


def test_reused_key_is_refused() -> None:
    """Guards against replaying the answer of another request."""
    state = _new_ledger()
    key = _bound_key()
    _receive(state, key)
    refused = ledger.Refuse(reason=_REASON.KEY_REUSED)
    assert _receive(state, key, fingerprint=b'g') == refused
    _apply(state, ledger.Answered(key=ids.RequestKey(key), answer=_SMALL))
    assert _receive(state, key, fingerprint=b'g') == refused


def test_key_of_an_earlier_incarnation_is_refused() -> None:
    """Guards against a second run after a restart, which empties the ledger."""
    decision = _receive(_new_ledger(), _bound_key('1e'))
    assert decision == ledger.Refuse(reason=_REASON.KEY_HOME_LOST)


def test_entries_are_kept_until_their_deadline() -> None:
    """Guards against an entry that is removed early or never."""
    state = _new_ledger()
    key = ids.RequestKey(_bound_key())
    _receive(state, key)
    _apply(state, ledger.Answered(key=key, answer=_SMALL), now=10)
    assert _receive(state, key, now=610) == ledger.Replay(answer=_SMALL)
    _receive(state, _bound_key(issued_at=613), now=613)
    assert state.size == 1
    assert state.answer_bytes == 0


def test_bound_key_older_than_the_retention_is_refused() -> None:
    """Guards against a second run of a key whose entry has expired."""
    state = _new_ledger()
    key = ids.RequestKey(_bound_key())
    _receive(state, key)
    _apply(state, ledger.Answered(key=key, answer=_SMALL), now=1)
    refused = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _receive(state, key, now=604) == refused


def test_full_ledger_refuses_new_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against evicting an entry that is still needed."""
    monkeypatch.setattr(bounds, 'MAX_ENTRIES', 1)
    state = _new_ledger()
    running = _bound_key()
    _receive(state, running)
    full = ledger.Refuse(reason=_REASON.LEDGER_FULL)
    assert _receive(state, _bound_key()) == full
    assert isinstance(_receive(state, running), ledger.Wait)


def test_plain_key_needs_a_home_history() -> None:
    """Guards against a second run of a request that an earlier home ran."""
    state = _new_ledger()
    _confirm_until(state, 30)
    unknown = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _receive(state, _timed_key(6.5), now=30) == unknown
    assert _receive(state, 'opaque', now=30) == unknown
    assert _receive(state, _timed_key(33), now=30) == unknown
    assert _receive(state, _timed_key(7.5), now=30) == ledger.Proceed()
    _confirm_until(state, 607)
    assert _receive(state, 'opaque', now=607) == ledger.Proceed()
    assert _receive(state, _timed_key(1), now=607) == unknown


def test_plain_key_needs_freshness() -> None:
    """Guards against a run by a former home that lacks the new list."""
    state = _new_ledger(confirmed_at=None)
    lost = ledger.Refuse(reason=_REASON.FRESHNESS_LOST)
    assert _receive(state, _timed_key(9), now=10) == lost
    _confirm_until(state, 20)
    assert _receive(state, _timed_key(24), now=25.5) == lost
    _apply(state, ledger.PauseNoticed(), now=21)
    assert _receive(state, _timed_key(20), now=21) == lost
    assert isinstance(_receive(state, _bound_key(), now=40), ledger.Proceed)


def test_discarded_confirmations_stop_plain_keys() -> None:
    """Guards against relying on a confirmation from before a pause."""
    state = _new_ledger()
    _confirm_until(state, 20)
    discarded = events.FreshnessConfirmed(confirmed_at=-math.inf)
    _apply(state, discarded, now=21)
    lost = ledger.Refuse(reason=_REASON.FRESHNESS_LOST)
    assert _receive(state, _timed_key(20), now=21) == lost
    _confirm(state, 22)
    assert _receive(state, _timed_key(20), now=22) == ledger.Proceed()


def test_plain_key_of_another_home_is_refused() -> None:
    """Guards against a key that two homes accept."""
    state = _new_ledger()
    other = frozenset((ids.InstanceId('other'),))
    _apply(state, ledger.BackendsReplaced(instances=other))
    not_home = ledger.Refuse(reason=_REASON.NOT_HOME)
    assert _receive(state, _timed_key(1)) == not_home


def test_freshness_gap_resets_the_home_history() -> None:
    """Guards against a run by a home that was listed only in a partition."""
    state = _new_ledger()
    _confirm_until(state, 30)
    _confirm(state, 100)
    _confirm(state, 104)
    _confirm(state, 108)
    unknown = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _receive(state, _timed_key(50), now=108) == unknown
    assert _receive(state, _timed_key(107.5), now=109) == ledger.Proceed()


def test_recently_listed_home_runs_nothing() -> None:
    """Guards against a run by a home that other nodes have not received."""
    state = _new_ledger(confirmed_at=1)
    _confirm(state, 4)
    unknown = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _receive(state, _timed_key(8.5), now=8.8) == unknown
    _confirm(state, 7)
    assert _receive(state, _timed_key(8.5), now=8.8) == ledger.Proceed()
