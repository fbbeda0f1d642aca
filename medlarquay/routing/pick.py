"""Selection of an owner among the live backend servers of a service."""

from collections.abc import Iterator

from medlarquay import replica
from medlarquay.routing import (
    any_owner_query,
    expected_wait,
    link_cost,
    region,
    routing_state,
    zone,
    zone_candidate,
)

__all__ = ('pick_owner',)

_Backends = list[replica.InstanceRecord]


def pick_owner(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    """Pick an owner by zone, expected wait and two random choices.

    Parameters
    ----------
    query : AnyOwnerQuery
        Call and its candidates.
    state : RoutingState
        Routing state of this ingress.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    InstanceRecord or None
        None if no live backend server may take new work.

    Notes
    -----
    The search ends at the nearest zone with a free slot whose answer is
    expected when due. Otherwise the zones compete by the expected time of the
    answer, so a short queue near by is preferred to a free slot 60 ms away,
    and a slow backend server does not get calls that it would answer too late.
    A large body or answer stays in the data centre, even behind others, while
    it is expected in time there. It leaves the region only if no owner there
    accepts calls, since traffic between regions is paid by volume and costs
    more than a late answer.
    """
    large = region.is_large(query, state)
    best: replica.InstanceRecord | None = None
    best_cost = float('inf')
    for candidate in _zone_candidates(query, state, now):
        if candidate.cost < best_cost:
            best = candidate.backend
            best_cost = candidate.cost
        has_room = candidate.has_free_slot or large
        if has_room and now + candidate.cost <= query.due:
            break
    return best


def _zone_candidates(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> Iterator[zone_candidate.ZoneCandidate]:
    use_ejected = _too_many_ejected(query, state, now)
    large = query.route in state.observations.large_routes
    for distance, members in query.candidates.zones:
        in_other_region = distance is zone.Zone.OTHER_REGION
        if in_other_region and region.stays_in_region(query, state, now):
            return
        eligible = _eligible(
            query, state, members, now, use_ejected=use_ejected
        )
        if eligible:
            picked, estimate = _pick_in_zone(eligible, state, now, large=large)
            yield zone_candidate.ZoneCandidate(
                backend=picked,
                cost=(
                    estimate.wait
                    + estimate.service_time
                    + link_cost.ROUND_TRIP_S[distance]
                ),
                has_free_slot=estimate.has_free_slot,
            )


def _too_many_ejected(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> bool:
    if state.observations.ejected_until <= now:
        return False
    by_instance = state.observations.by_instance
    live = query.candidates.live
    ejected = sum(
        by_instance[instance].avoided_until > now
        for instance in live
        if instance in by_instance
    )
    return ejected * 2 > len(live)


def _eligible(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    members: tuple[replica.InstanceRecord, ...],
    now: float,
    *,
    use_ejected: bool,
) -> _Backends:
    by_instance = state.observations.by_instance
    # No ejection ends after infinity, so all ejections are ignored.
    ejection_cutoff = float('inf') if use_ejected else now
    return [
        backend
        for backend in members
        if backend.instance not in query.excluded
        and region.accepts_calls(
            by_instance.get(backend.instance), now, ejection_cutoff
        )
    ]


def _pick_in_zone(
    eligible: _Backends,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> tuple[replica.InstanceRecord, expected_wait.Estimate]:
    local = _local_if_free(eligible, state, now, large=large)
    if local is not None:
        return local
    first, first_wait = _draw_random(eligible, state, now, large=large)
    if len(eligible) == 1:
        return first, first_wait
    # The first draw is left out of the second, so the two always differ.
    rest = [backend for backend in eligible if backend is not first]
    second, second_wait = _draw_random(rest, state, now, large=large)
    if _sort_key(second_wait) < _sort_key(first_wait):
        return second, second_wait
    return first, first_wait


def _local_if_free(
    eligible: _Backends,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> tuple[replica.InstanceRecord, expected_wait.Estimate] | None:
    for backend in eligible:
        if backend.node_name == state.instance:
            local = _estimate(backend, state, now, large=large)
            return (backend, local) if local.has_free_slot else None
    return None


def _draw_random(
    eligible: _Backends,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> tuple[replica.InstanceRecord, expected_wait.Estimate]:
    drawn = eligible[int(state.random.random() * len(eligible))]
    return drawn, _estimate(drawn, state, now, large=large)


def _estimate(
    backend: replica.InstanceRecord,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> expected_wait.Estimate:
    observed = state.observations.by_instance.get(backend.instance)
    return expected_wait.estimate_wait(backend, observed, now=now, large=large)


def _sort_key(estimate: expected_wait.Estimate) -> tuple[bool, float, float]:
    return (
        not estimate.has_free_slot,
        estimate.wait,
        estimate.in_flight_per_slot,
    )
