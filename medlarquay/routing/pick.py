"""Selection among the live backend servers of a service."""

from collections.abc import Iterator

from medlarquay import replica
from medlarquay.routing import (
    any_owner_query,
    expected_wait,
    link_cost,
    owner_offer,
    region,
    routing_state,
    zone,
)

__all__ = ('pick_owner',)

_Backends = list[replica.InstanceRecord]


def pick_owner(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> replica.InstanceRecord | None:
    """Pick an owner by zone, expected wait and two random choices.

    Returns
    -------
    InstanceRecord or None
        None if no live backend server may take new work.

    Notes
    -----
    The nearest zone with a free slot that answers when due ends the search.
    Others still compete by their expected time of answer, so a short queue
    near by beats a free slot 60 ms away, and a slow server does not keep
    the work that it would answer too late. A large answer leaves the region
    only if no owner there takes work, since the bytes between regions are
    paid by volume and cost more than a late answer.
    """
    best: replica.InstanceRecord | None = None
    best_cost = float('inf')
    for offer in _offers(query, state, now):
        if offer.cost < best_cost:
            best = offer.backend
            best_cost = offer.cost
        if offer.free and now + offer.cost <= query.due:
            break
    return best


def _offers(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> Iterator[owner_offer.OwnerOffer]:
    use_ejected = _too_many_ejected(query, state, now)
    large = query.route in state.observations.large_routes
    for distance, members in query.candidates.zones:
        far = distance is zone.Zone.OTHER_REGION
        if far and region.stays_in_region(query, state, now):
            return
        usable = _usable(query, state, members, now, use_ejected=use_ejected)
        if usable:
            picked, waiting = _pick_in_zone(usable, state, now, large=large)
            yield owner_offer.OwnerOffer(
                backend=picked,
                cost=(
                    waiting.wait
                    + waiting.service
                    + link_cost.ROUND_TRIP_S[distance]
                ),
                free=waiting.free,
            )


def _too_many_ejected(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    now: float,
) -> bool:
    if state.observations.ejected_until <= now:
        return False
    seen = state.observations.by_instance
    live = query.candidates.live
    ejected = sum(
        seen[instance].avoided_until > now
        for instance in live
        if instance in seen
    )
    return ejected * 2 > len(live)


def _usable(
    query: any_owner_query.AnyOwnerQuery,
    state: routing_state.RoutingState,
    members: tuple[replica.InstanceRecord, ...],
    now: float,
    *,
    use_ejected: bool,
) -> _Backends:
    seen = state.observations.by_instance
    # No ejection ends after infinity, so all of them are ignored.
    ejected_after = float('inf') if use_ejected else now
    return [
        backend
        for backend in members
        if backend.instance not in query.excluded
        and region.accepts(seen.get(backend.instance), now, ejected_after)
    ]


def _pick_in_zone(
    usable: _Backends,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> tuple[replica.InstanceRecord, expected_wait.Estimate]:
    own = _own_if_free(usable, state, now, large=large)
    if own is not None:
        return own
    first, first_wait = _draw(usable, state, now, large=large)
    if len(usable) == 1:
        return first, first_wait
    # The second draw leaves the first one out, so they always differ.
    rest = [backend for backend in usable if backend is not first]
    second, second_wait = _draw(rest, state, now, large=large)
    if _order(second_wait) < _order(first_wait):
        return second, second_wait
    return first, first_wait


def _own_if_free(
    usable: _Backends,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> tuple[replica.InstanceRecord, expected_wait.Estimate] | None:
    for backend in usable:
        if backend.node_name == state.instance:
            own = _estimate(backend, state, now, large=large)
            return (backend, own) if own.free else None
    return None


def _draw(
    usable: _Backends,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> tuple[replica.InstanceRecord, expected_wait.Estimate]:
    drawn = usable[int(state.random.random() * len(usable))]
    return drawn, _estimate(drawn, state, now, large=large)


def _estimate(
    backend: replica.InstanceRecord,
    state: routing_state.RoutingState,
    now: float,
    *,
    large: bool,
) -> expected_wait.Estimate:
    found = state.observations.by_instance.get(backend.instance)
    return expected_wait.estimate(backend, found, now=now, large=large)


def _order(waiting: expected_wait.Estimate) -> tuple[bool, float, float]:
    return not waiting.free, waiting.wait, waiting.share
