"""Whether a call may leave the region of its ingress."""

import dataclasses

from medlarquay.routing import (
    any_owner_query,
    expected_wait,
    observation,
    routing_state,
    zone,
)

__all__ = ('accepts', 'count_eligible_owners', 'stays_in_region')


def stays_in_region(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> bool:
    """Tell whether a call expects a large answer that its region can give.

    Notes
    -----
    The bytes between regions are paid by volume, and one large answer costs
    more than it is worth. So it leaves the region only if no owner there
    takes work, not because all of them are busy.
    """
    if query.route not in state.observations.large_routes:
        return False
    seen = state.observations.by_instance
    return any(
        accepts(seen.get(backend.instance), now, now)
        and (
            backend.instance not in query.excluded
            or expected_wait.is_busy(seen.get(backend.instance), now)
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
    """Return how many owners a call may be sent to, tried ones included."""
    owners = len(query.candidates.live)
    if query.route not in state.observations.large_routes:
        return owners
    untried = dataclasses.replace(query, excluded=())
    if not stays_in_region(untried, state, now):
        return owners
    return sum(
        len(members)
        for distance, members in query.candidates.zones
        if distance is not zone.Zone.OTHER_REGION
    )


def accepts(
    found: observation.Observation | None,
    now: float,
    ejected_after: float,
) -> bool:
    """Tell whether a backend server takes calls as far as is known.

    Parameters
    ----------
    found : Observation or None
        What this ingress observed of it.
    now : float
        Seconds on the monotonic clock.
    ejected_after : float
        An ejection that ends later counts, on the same clock.
    """
    if found is None:
        return True
    return found.draining_until <= now and found.avoided_until <= ejected_after
