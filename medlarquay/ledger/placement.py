"""Check whether a request with a new key may run on this instance."""

import functools

from medlarquay import keys, states
from medlarquay.ledger import bounds, ledger

__all__ = ('refusal_of_new_key',)


@functools.singledispatch
def refusal_of_new_key(
    key: object,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> states.RefusalReason | None:
    """Return why a request with a new key is refused, or None if it may run.

    Parameters
    ----------
    key : BoundKey or PlainKey
        Key without an entry in the ledger.
    state : Ledger
        Ledger of this node.
    now, wall : float
        Monotonic and Unix time in seconds.

    Returns
    -------
    RefusalReason or None
        None if the request may run.

    Raises
    ------
    TypeError
        If the type of the key is unknown.
    """
    raise TypeError(f'unexpected key {type(key).__name__}')


@refusal_of_new_key.register
def _refuse_bound(
    key: keys.BoundKey,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> states.RefusalReason | None:
    this_run = (state.instance, state.incarnation)
    if (key.instance, key.incarnation) != this_run:
        return states.RefusalReason.KEY_HOME_LOST
    # The entry of an older key may have expired already.
    if _within_retention(key.created_at, state, wall):
        return None
    return states.RefusalReason.KEY_HISTORY_UNKNOWN


@refusal_of_new_key.register
def _refuse_plain(
    key: keys.PlainKey,
    state: ledger.Ledger,
    now: float,
    wall: float,
) -> states.RefusalReason | None:
    since = state.history.home_since(key.text)
    if since is None:
        return states.RefusalReason.NOT_HOME
    confirmed_at = _fresh_confirmation(state, now)
    if confirmed_at is None:
        return states.RefusalReason.FRESHNESS_LOST
    # Another node with an always fresh configuration may miss a home that is
    # listed for less than the convergence bound, and would then run the key
    # again. So a home runs nothing before it has been listed for that long.
    known_to_all = confirmed_at - since >= bounds.CONVERGENCE_S
    if known_to_all and _earlier_run_excluded(key, state, now - since, wall):
        return None
    return states.RefusalReason.KEY_HISTORY_UNKNOWN


def _fresh_confirmation(state: ledger.Ledger, now: float) -> float | None:
    confirmed_at = state.confirmed_at
    if confirmed_at is None or state.paused:
        return None
    return confirmed_at if now - confirmed_at <= bounds.CONVERGENCE_S else None


def _earlier_run_excluded(
    key: keys.PlainKey,
    state: ledger.Ledger,
    home_for: float,
    wall: float,
) -> bool:
    """Return whether no earlier home can have run the request of a new key.

    An earlier home may have accepted keys for the length of the convergence
    bound after this one took over, because it had not received the change.
    """
    max_overlap_s = bounds.CONVERGENCE_S + bounds.CLOCK_ERROR_S
    home_long_enough = home_for >= state.retention_s + max_overlap_s
    if key.created_at is None:
        return home_long_enough
    if not _within_retention(key.created_at, state, wall):
        return False
    return home_long_enough or wall - key.created_at < home_for - max_overlap_s


def _within_retention(
    created_at: float, state: ledger.Ledger, wall: float
) -> bool:
    # A creation time in the future is wrong, and the entry of an older key may
    # have expired already.
    age = wall - created_at
    return -bounds.CLOCK_ERROR_S <= age <= state.retention_s
