"""Decisions that differ between the compared policies."""

import functools
from types import MappingProxyType

from medlarquay import admission, replica, routing, states
from medlarquay.lab import plain_policy, product_policy, server
from medlarquay.testing import replay

__all__ = ('choose_backend', 'new_admission')

_QUEUE_LIMIT = 1000
_NO_FLOORS = MappingProxyType(dict.fromkeys(states.Rank, 0))


@functools.singledispatch
def new_admission(policy: object, local_server: server.Server) -> object:
    """Return the admission queue of one owner, empty.

    Parameters
    ----------
    policy : ProductPolicy or PlainPolicy
        Policy that the experiment simulates.
    local_server : Server
        Backend server of the owner.

    Returns
    -------
    Admission or Fifo
        Decides which requests start.

    Raises
    ------
    TypeError
        If the policy is of another type.
    """
    raise TypeError(f'unexpected policy {type(policy).__name__}')


@new_admission.register
def _product_admission(
    policy: product_policy.ProductPolicy,
    local_server: server.Server,
) -> object:
    return admission.Admission(
        bounds=admission.Limits(
            slots=local_server.slots,
            floors=_NO_FLOORS,
            queue_limit=_QUEUE_LIMIT,
            exclusive=True,
        ),
    )


@new_admission.register
def _plain_admission(
    policy: plain_policy.PlainPolicy,
    local_server: server.Server,
) -> object:
    return replay.Fifo(slots=local_server.slots)


@functools.singledispatch
def choose_backend(
    policy: object,
    query: routing.AnyOwnerQuery,
    state: routing.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    """Return the backend server for the next attempt.

    Parameters
    ----------
    policy : ProductPolicy or PlainPolicy
        Policy that the experiment simulates.
    query : AnyOwnerQuery
        Candidates, and the instances that earlier attempts were sent to.
    state : RoutingState
        Observations of the ingress and its random numbers.
    now : float
        Simulated time in seconds.

    Returns
    -------
    InstanceRecord or None
        None if there is no candidate to choose.

    Raises
    ------
    TypeError
        If the policy is of another type.
    """
    raise TypeError(f'unexpected policy {type(policy).__name__}')


@choose_backend.register
def _product_choice(
    policy: product_policy.ProductPolicy,
    query: routing.AnyOwnerQuery,
    state: routing.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    choice = routing.choose(query, state, now)
    if isinstance(choice, routing.OwnerChosen):
        return choice.backend
    return None


@choose_backend.register
def _plain_choice(
    policy: plain_policy.PlainPolicy,
    query: routing.AnyOwnerQuery,
    state: routing.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    remaining = [
        backend
        for _, members in query.candidates.zones
        for backend in members
        if backend.instance not in query.excluded
    ]
    return state.random.choice(remaining) if remaining else None
