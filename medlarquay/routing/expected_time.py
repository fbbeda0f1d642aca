"""Expected time of a call at a backend server."""

from medlarquay import ids, replica
from medlarquay.routing import expected_wait, routing_state

__all__ = ('expected_time',)

# Time assumed for a backend server that has not answered yet.
_DEFAULT_S = 0.005


def expected_time(
    backend: replica.InstanceRecord,
    state: routing_state.RoutingState,
    now: float,
    *,
    route: ids.RouteName,
) -> float:
    """Return the expected seconds until an answer, waiting included."""
    found = state.observations.by_instance.get(backend.instance)
    waiting = expected_wait.estimate(
        backend,
        found,
        now=now,
        large=route in state.observations.large_routes,
    )
    if found is None or found.latency is None:
        return waiting.wait + _DEFAULT_S
    return waiting.wait + found.latency
