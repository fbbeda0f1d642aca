"""Expected time of a call at a backend server, waiting included."""

from medlarquay import ids, replica
from medlarquay.routing import expected_wait, routing_state

__all__ = ('expected_time',)

# Assumed latency of a backend server that has not answered yet.
_DEFAULT_LATENCY_S = 0.005


def expected_time(
    backend: replica.InstanceRecord,
    state: routing_state.RoutingState,
    now: float,
    *,
    route: ids.RouteName,
) -> float:
    """Estimate the time from sending a call to its answer.

    Parameters
    ----------
    backend : InstanceRecord
        Backend server.
    state : RoutingState
        Observations of this ingress.
    now : float
        Seconds on the monotonic clock.
    route : RouteName
        Route of the call; tells whether a large answer is expected.

    Returns
    -------
    float
        Seconds, waiting included.
    """
    observed = state.observations.by_instance.get(backend.instance)
    estimate = expected_wait.estimate_wait(
        backend,
        observed,
        now=now,
        large=route in state.observations.large_routes,
    )
    if observed is None or observed.latency is None:
        return estimate.wait + _DEFAULT_LATENCY_S
    return estimate.wait + observed.latency
