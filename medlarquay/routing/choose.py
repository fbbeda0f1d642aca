"""Selection of the owner of a call."""

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
    query : AnyOwnerQuery, BoundKeyQuery or PlainKeyQuery
        Which owners the call may be sent to.
    state : RoutingState
        Routing state of this ingress.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    OwnerChosen or ChoiceRefused

    Raises
    ------
    TypeError
        If the type of the query is unknown.
    """
    raise TypeError(f'unexpected query {type(query).__name__}')


@choose.register
def _choose_any(
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
def _choose_bound(
    query: bound_key_query.BoundKeyQuery,
    state: routing_state.RoutingState,
    now: float,
) -> _Choice:
    # Leaving and draining owners are not skipped: only they can replay the
    # recorded answer, and they refuse new work themselves.
    current = query.incarnation
    replaced = current is not None and current != query.key.incarnation
    owner = _find_backend(query.backends, query.key.instance)
    if owner is None or replaced:
        return choice_refused.ChoiceRefused(
            reason=states.RefusalReason.KEY_HOME_LOST,
        )
    return owner_chosen.OwnerChosen(backend=owner)


@choose.register
def _choose_home(
    query: plain_key_query.PlainKeyQuery,
    state: routing_state.RoutingState,
    now: float,
) -> _Choice:
    home = keys.home_of(
        query.key.text,
        (backend.instance for backend in query.backends),
    )
    owner = None if home is None else _find_backend(query.backends, home)
    if owner is None:
        return choice_refused.ChoiceRefused(
            reason=states.RefusalReason.NO_BACKEND,
        )
    return owner_chosen.OwnerChosen(backend=owner)


def _find_backend(
    backends: Iterable[replica.InstanceRecord],
    instance: ids.InstanceId,
) -> replica.InstanceRecord | None:
    for backend in backends:
        if backend.instance == instance:
            return backend
    return None
