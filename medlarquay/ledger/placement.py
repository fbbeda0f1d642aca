"""Whether a new key may run at this instance."""

import functools

from medlarquay import keys, states
from medlarquay.ledger import bounds, ledger

__all__ = ('refusal_of_new_key',)


@functools.singledispatch
def refusal_of_new_key(
    key: object,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> states.RefusalReason | None:
    """Return why an unseen key may not run here, or None if it may.

    Parameters
    ----------
    key : BoundKey or PlainKey
        Key without an entry.
    book : Ledger
        State.
    now, wall : float
        Monotonic and Unix time in seconds.
    """
    raise TypeError(f'unexpected key {type(key).__name__}')


@refusal_of_new_key.register
def _refuse_bound(
    key: keys.BoundKey,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> states.RefusalReason | None:
    own = (book.instance, book.incarnation)
    if (key.instance, key.incarnation) != own:
        return states.RefusalReason.KEY_HOME_LOST
    # The entry of an older key may have reached its deadline.
    if _age_known(key.created_at, book, wall):
        return None
    return states.RefusalReason.KEY_HISTORY_UNKNOWN


@refusal_of_new_key.register
def _refuse_plain(
    key: keys.PlainKey,
    book: ledger.Ledger,
    now: float,
    wall: float,
) -> states.RefusalReason | None:
    since = book.history.home_since(key.text)
    if since is None:
        return states.RefusalReason.NOT_HOME
    confirmed_at = _fresh_confirmation(book, now)
    if confirmed_at is None:
        return states.RefusalReason.FRESHNESS_LOST
    # A home that was listed for less than the convergence bound may have gone
    # unnoticed by a node that was fresh throughout, so it runs nothing.
    noticed = confirmed_at - since >= bounds.CONVERGENCE_S
    if noticed and _history_known(key, book, now - since, wall):
        return None
    return states.RefusalReason.KEY_HISTORY_UNKNOWN


def _fresh_confirmation(book: ledger.Ledger, now: float) -> float | None:
    confirmed_at = book.confirmed_at
    if confirmed_at is None or book.paused:
        return None
    return confirmed_at if now - confirmed_at <= bounds.CONVERGENCE_S else None


def _history_known(
    key: keys.PlainKey,
    book: ledger.Ledger,
    home_for: float,
    wall: float,
) -> bool:
    """Return whether no earlier home can have run an unseen key.

    An earlier home may have accepted keys for the convergence bound after
    this one took over, because it did not know of the change.
    """
    lag = bounds.CONVERGENCE_S + bounds.CLOCK_ERROR_S
    home_long_enough = home_for >= book.retention_s + lag
    if key.created_at is None:
        return home_long_enough
    if not _age_known(key.created_at, book, wall):
        return False
    return home_long_enough or wall - key.created_at < home_for - lag


def _age_known(created_at: float, book: ledger.Ledger, wall: float) -> bool:
    # A key from the future has a wrong creation time, and an entry of this
    # ledger for an older key may have reached its deadline.
    age = wall - created_at
    return -bounds.CLOCK_ERROR_S <= age <= book.retention_s
