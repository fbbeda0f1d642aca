"""Decisions of the ledger, one event at a time."""

import math
import uuid

import pytest

from medlarquay import events, ids, keys, ledger, states
from medlarquay.ledger import bounds

_OWN = ids.InstanceId('own')
_RUN = ids.Incarnation('1f')
_WALL = 1_700_000_000
_SMALL = ledger.RecordedAnswer(status=201, headers=(), body=b'ok')
_LARGE = ledger.RecordedAnswer(
    status=200,
    headers=(),
    body=bytes(bounds.MAX_ANSWER_BYTES + 1),
)
_REASON = states.RefusalReason


def _book(*, confirmed_at: float | None = 0) -> ledger.Ledger:
    book = ledger.Ledger(instance=_OWN, incarnation=_RUN)
    listed = ledger.EndpointsReplaced(instances=frozenset((_OWN,)))
    ledger.decide(listed, book, 0, _WALL)
    if confirmed_at is not None:
        _confirm(book, confirmed_at)
    return book


def _confirm(book: ledger.Ledger, now: float) -> None:
    event = events.FreshnessConfirmed(confirmed_at=now)
    ledger.decide(event, book, now, _WALL + now)


def _follow(book: ledger.Ledger, until: int) -> None:
    for now in range(1, until + 1):
        _confirm(book, now)


def _bound(incarnation: str = _RUN, *, issued_at: float = 0) -> str:
    run = ids.Incarnation(incarnation)
    return keys.issue_key(
        instance=_OWN,
        incarnation=run,
        issued_at=_WALL + issued_at,
    )


def _timed(created_at: float) -> str:
    stamp = int((_WALL + created_at) * 1000)
    return str(uuid.UUID(int=stamp << 80 | 7 << 76 | 2 << 62))


def _present(
    book: ledger.Ledger,
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
    return ledger.decide(event, book, now, _WALL + now)


def _settle(book: ledger.Ledger, event: object, now: float = 1) -> None:
    ledger.decide(event, book, now, _WALL + now)


def test_repeat_waits_then_replays() -> None:
    """Guards against a second run of a request that is resent."""
    book = _book()
    key = _bound()
    assert _present(book, key) == ledger.Proceed()
    assert _present(book, key) == ledger.Wait(exchange=ids.ExchangeId(5))
    _settle(book, ledger.Answered(key=ids.RequestKey(key), answer=_SMALL))
    assert _present(book, key) == ledger.Replay(answer=_SMALL)


def test_large_answer_is_reported_as_dropped() -> None:
    """Guards against unbounded memory and a second run instead."""
    book = _book()
    key = _bound()
    _present(book, key)
    _settle(book, ledger.Answered(key=ids.RequestKey(key), answer=_LARGE))
    assert _present(book, key) == ledger.ReportDropped()
    assert book.answer_bytes == 0


def test_lost_outcome_stays_unknown() -> None:
    """Guards against saying not run of a request that may have run."""
    book = _book()
    key = ids.RequestKey(_bound())
    _present(book, key)
    reason = _REASON.BACKEND_LOST
    _settle(book, ledger.OutcomeLost(key=key, reason=reason))
    assert _present(book, key) == ledger.ReportUnknown(reason=reason)


def test_withdrawn_key_may_run_later() -> None:
    """Guards against a refused order that can never be placed."""
    book = _book()
    key = ids.RequestKey(_bound())
    _present(book, key)
    _settle(book, ledger.KeyReleased(key=key))
    assert _present(book, key) == ledger.Proceed()


def test_reused_key_is_refused() -> None:
    """Guards against the answer of another request."""
    book = _book()
    key = _bound()
    _present(book, key)
    refused = ledger.Refuse(reason=_REASON.KEY_REUSED)
    assert _present(book, key, fingerprint=b'g') == refused
    _settle(book, ledger.Answered(key=ids.RequestKey(key), answer=_SMALL))
    assert _present(book, key, fingerprint=b'g') == refused


def test_key_of_an_earlier_run_is_refused() -> None:
    """Guards against a second run after a restart lost the ledger."""
    decision = _present(_book(), _bound('1e'))
    assert decision == ledger.Refuse(reason=_REASON.KEY_HOME_LOST)


def test_entries_live_until_their_deadline() -> None:
    """Guards against an entry dropped early or kept for ever."""
    book = _book()
    key = ids.RequestKey(_bound())
    _present(book, key)
    _settle(book, ledger.Answered(key=key, answer=_SMALL), now=10)
    assert _present(book, key, now=610) == ledger.Replay(answer=_SMALL)
    _present(book, _bound(issued_at=613), now=613)
    assert book.size == 1
    assert book.answer_bytes == 0


def test_bound_key_older_than_the_memory_is_refused() -> None:
    """Guards against a second run of a key whose entry was dropped."""
    book = _book()
    key = ids.RequestKey(_bound())
    _present(book, key)
    _settle(book, ledger.Answered(key=key, answer=_SMALL), now=1)
    late = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _present(book, key, now=604) == late


def test_full_ledger_refuses_new_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against evicting an entry that is still needed."""
    monkeypatch.setattr(bounds, 'MAX_ENTRIES', 1)
    book = _book()
    known = _bound()
    _present(book, known)
    full = ledger.Refuse(reason=_REASON.LEDGER_FULL)
    assert _present(book, _bound()) == full
    assert isinstance(_present(book, known), ledger.Wait)


def test_plain_key_needs_a_known_history() -> None:
    """Guards against a run that an earlier home has already made."""
    book = _book()
    _follow(book, 30)
    unknown = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _present(book, _timed(6.5), now=30) == unknown
    assert _present(book, 'opaque', now=30) == unknown
    assert _present(book, _timed(33), now=30) == unknown
    assert _present(book, _timed(7.5), now=30) == ledger.Proceed()
    _follow(book, 607)
    assert _present(book, 'opaque', now=607) == ledger.Proceed()
    assert _present(book, _timed(1), now=607) == unknown


def test_plain_key_needs_freshness() -> None:
    """Guards against a replaced home that has not noticed it."""
    book = _book(confirmed_at=None)
    lost = ledger.Refuse(reason=_REASON.FRESHNESS_LOST)
    assert _present(book, _timed(9), now=10) == lost
    _follow(book, 20)
    assert _present(book, _timed(24), now=25.5) == lost
    _settle(book, ledger.PauseNoticed(), now=21)
    assert _present(book, _timed(20), now=21) == lost
    assert isinstance(_present(book, _bound(), now=40), ledger.Proceed)


def test_forgotten_confirmations_stop_plain_keys() -> None:
    """Guards against relying on freshness that was withdrawn by a pause."""
    book = _book()
    _follow(book, 20)
    forgotten = events.FreshnessConfirmed(confirmed_at=-math.inf)
    _settle(book, forgotten, now=21)
    lost = ledger.Refuse(reason=_REASON.FRESHNESS_LOST)
    assert _present(book, _timed(20), now=21) == lost
    _confirm(book, 22)
    assert _present(book, _timed(20), now=22) == ledger.Proceed()


def test_plain_key_of_another_home_is_refused() -> None:
    """Guards against two homes for one key."""
    book = _book()
    other = frozenset((ids.InstanceId('other'),))
    _settle(book, ledger.EndpointsReplaced(instances=other))
    not_home = ledger.Refuse(reason=_REASON.NOT_HOME)
    assert _present(book, _timed(1)) == not_home


def test_gap_in_freshness_breaks_the_history() -> None:
    """Guards against a home that came and went during a partition."""
    book = _book()
    _follow(book, 30)
    _confirm(book, 100)
    _confirm(book, 104)
    _confirm(book, 108)
    unknown = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _present(book, _timed(50), now=108) == unknown
    assert _present(book, _timed(107.5), now=109) == ledger.Proceed()


def test_home_listed_for_a_moment_runs_nothing() -> None:
    """Guards against a home that no other node has noticed."""
    book = _book(confirmed_at=1)
    _confirm(book, 4)
    unknown = ledger.Refuse(reason=_REASON.KEY_HISTORY_UNKNOWN)
    assert _present(book, _timed(8.5), now=8.8) == unknown
    _confirm(book, 7)
    assert _present(book, _timed(8.5), now=8.8) == ledger.Proceed()
