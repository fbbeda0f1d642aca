"""Choice of the owner of a call."""

import functools
from collections.abc import Iterable

from medlarquay import ids, keys, replica, states
from medlarquay.routing import (
    any_owner_query,
    bound_key_query,
    choice_refused,
    owner_chosen,
    pick,
    plain_key_query,
    routing_state,
)

__all__ = ('choose',)

_Choice = owner_chosen.OwnerChosen | choice_refused.ChoiceRefused


@functools.singledispatch
def choose(
    query: object, state: routing_state.RoutingState, now: float
) -> _Choice:
    """Choose the owner of a call.

    Parameters
    ----------
    wanted : AnyOwnerWanted, BoundOwnerWanted or HomeWanted
        What the call allows.
    state : RoutingState
        Observations, own instance and source of random numbers.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    OwnerChosen or ChoiceRefused
    """
    raise TypeError(f'unexpected query {type(query).__name__}')


@choose.register
def _any(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> _Choice:
    chosen = pick.pick_owner(query, state, now)
    if chosen is None:
        return choice_refused.ChoiceRefused(
            reason=states.RefusalReason.NO_BACKEND,
        )
    return owner_chosen.OwnerChosen(backend=chosen)


@choose.register
def _bound(
    query: bound_key_query.BoundKeyQuery,
    state: routing_state.RoutingState,
    now: float,
) -> _Choice:
    # Leaving and draining owners are not passed over: only they can replay
    # the recorded answer, and they refuse new work themselves.
    known = query.incarnation
    replaced = known is not None and known != query.key.incarnation
    found = _find(query.backends, query.key.instance)
    if found is None or replaced:
        return choice_refused.ChoiceRefused(
            reason=states.RefusalReason.KEY_HOME_LOST,
        )
    return owner_chosen.OwnerChosen(backend=found)


@choose.register
def _home(
    query: plain_key_query.PlainKeyQuery,
    state: routing_state.RoutingState,
    now: float,
) -> _Choice:
    home = keys.home_of(
        query.key.text,
        (backend.instance for backend in query.backends),
    )
    found = None if home is None else _find(query.backends, home)
    if found is None:
        return choice_refused.ChoiceRefused(
            reason=states.RefusalReason.NO_BACKEND,
        )
    return owner_chosen.OwnerChosen(backend=found)


def _find(
    backends: Iterable[replica.InstanceRecord],
    instance: ids.InstanceId,
) -> replica.InstanceRecord | None:
    for backend in backends:
        if backend.instance == instance:
            return backend
    return None
