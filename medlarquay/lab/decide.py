"""The decisions that differ between policies."""

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
    """Return a fresh admission of one owner."""
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
    """Return the backend server of the next attempt, if any is left."""
    raise TypeError(f'unexpected policy {type(policy).__name__}')


@choose_backend.register
def _product_choice(
    policy: product_policy.ProductPolicy,
    query: routing.AnyOwnerQuery,
    state: routing.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    found = routing.choose(query, state, now)
    if isinstance(found, routing.OwnerChosen):
        return found.backend
    return None


@choose_backend.register
def _plain_choice(
    policy: plain_policy.PlainPolicy,
    query: routing.AnyOwnerQuery,
    state: routing.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    left = [
        backend
        for _, members in query.candidates.zones
        for backend in members
        if backend.instance not in query.excluded
    ]
    return state.random.choice(left) if left else None
