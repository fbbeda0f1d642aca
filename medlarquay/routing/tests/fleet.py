"""Backend servers and routing states for the tests of routing."""

import math
import random

from medlarquay import ids, replica, routing, states

__all__ = ('LOCATION', 'backend', 'routing_state', 'pick')

LOCATION = routing.Location(
    instance=ids.InstanceId('a1'),
    region=ids.RegionName('north'),
    data_centre=ids.DataCentreName('a'),
)


def backend(
    name: str,
    *,
    region: str = 'north',
    state: states.InstanceState = states.InstanceState.LIVE,
) -> replica.InstanceRecord:
    """Return a backend server; the first letter names its data centre."""
    return replica.InstanceRecord(
        instance=ids.InstanceId(name),
        revision=ids.Revision(1),
        team=ids.TeamName('team'),
        service=ids.ServiceName('desk'),
        region=ids.RegionName(region),
        data_centre=ids.DataCentreName(name[0]),
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
        slots=2,
        state=state,
    )


def routing_state(*, seed: int = 1) -> routing.RoutingState:
    """Return a routing state without observations."""
    return routing.RoutingState(
        instance=LOCATION.instance,
        observations=routing.Observations(),
        random=random.Random(seed),
    )


def pick(
    state: routing.RoutingState,
    *backends: replica.InstanceRecord,
    now: float = 0,
    excluded: tuple[ids.InstanceId, ...] = (),
    due: float = math.inf,
    route: str = '',
    large_request: bool = False,
) -> str | None:
    """Return the instance of the chosen owner, or None if refused."""
    query = routing.AnyOwnerQuery(
        candidates=routing.group_candidates(
            backends, ingress_location=LOCATION
        ),
        excluded=excluded,
        due=due,
        route=ids.RouteName(route),
        large_request=large_request,
    )
    chosen = routing.choose(query, state, now)
    if isinstance(chosen, routing.OwnerChosen):
        return chosen.backend.instance
    return None
