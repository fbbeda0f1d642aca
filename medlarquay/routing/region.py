"""Rules on sending a call to a backend server of another region."""

import dataclasses

from medlarquay.routing import (
    any_owner_query,
    expected_wait,
    observation,
    routing_state,
    zone,
)

__all__ = (
    'accepts_calls',
    'count_eligible_owners',
    'is_large',
    'stays_in_region',
)


def is_large(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
) -> bool:
    """Return whether a call has a large body or expects a large answer."""
    return query.large_request or query.route in state.observations.large_routes


def stays_in_region(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> bool:
    """Return whether a call must stay in the region of its ingress.

    Parameters
    ----------
    query : AnyOwnerQuery
        Call and its candidates.
    state : RoutingState
        Observations of this ingress.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    bool
        True if the call or its answer is large and an owner in the region
        accepts calls; an owner that was tried before counts only while it or the link
        of its machine is full.

    Notes
    -----
    Traffic between regions is paid by volume, and a large body costs more
    than it is worth. Such a call therefore leaves the region only if no owner
    there accepts work, not because all of them are busy.
    """
    if not is_large(query, state):
        return False
    by_instance = state.observations.by_instance
    return any(
        accepts_calls(by_instance.get(backend.instance), now, now)
        and (
            backend.instance not in query.excluded
            or expected_wait.is_busy(by_instance.get(backend.instance), now)
        )
        for distance, members in query.candidates.zones
        if distance is not zone.Zone.OTHER_REGION
        for backend in members
    )


def count_eligible_owners(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> int:
    """Count the owners that a call may be sent to, including tried ones.

    Parameters
    ----------
    query : AnyOwnerQuery
        Call and its candidates; ``excluded`` is ignored.
    state : RoutingState
        Observations of this ingress.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    int
        All live owners, or those of the region of the ingress if the call
        must stay there.
    """
    owners = len(query.candidates.live)
    if not is_large(query, state):
        return owners
    untried = dataclasses.replace(query, excluded=())
    if not stays_in_region(untried, state, now):
        return owners
    return sum(
        len(members)
        for distance, members in query.candidates.zones
        if distance is not zone.Zone.OTHER_REGION
    )


def accepts_calls(
    observed: observation.Observation | None,
    now: float,
    ejection_cutoff: float,
) -> bool:
    """Return whether a backend server is expected to accept calls.

    Parameters
    ----------
    observed : Observation or None
        Observation of the backend server; one without any is taken to accept
        calls.
    now : float
        Seconds on the monotonic clock.
    ejection_cutoff : float
        Only an ejection that ends after this time excludes the backend
        server, seconds on the same clock.
    """
    if observed is None:
        return True
    return (
        observed.draining_until <= now
        and observed.avoided_until <= ejection_cutoff
    )
