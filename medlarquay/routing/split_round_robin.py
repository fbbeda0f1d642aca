"""Weighted round robin over the services of a split route."""

from medlarquay import ids, settings, snapshots

__all__ = ('SplitRoundRobin',)

_Counters = dict[ids.ServiceName, int]


class SplitRoundRobin:
    """Distributes the requests of split routes by weight.

    Notes
    -----
    Smooth weighted round robin, as in nginx: each request adds the weight of
    every service to its counter, and the service with the highest counter
    takes the request and has the sum of the weights subtracted. The shares
    are exact after as many requests as the weights add up to, so that a short
    measurement sees them too.
    """

    def __init__(self) -> None:
        self._counters: dict[settings.RouteSettings, _Counters] = {}

    def apply_snapshot(self, current: snapshots.Snapshot) -> None:
        """Remove the counters of routes that are no longer in force."""
        if not self._counters:
            return
        split_routes = {
            route.parameters
            for group in current.routes.values()
            for route in group
            if route.split
        }
        self._counters = {
            parameters: counters
            for parameters, counters in self._counters.items()
            if parameters in split_routes
        }

    def next_service(self, route: snapshots.Route) -> snapshots.Service:
        """Return the service for the next request of a route."""
        if not route.split:
            return route.service
        counters = self._counters.setdefault(route.parameters, {})
        total = 0
        best = route.service
        for service, weight in route.split:
            name = service.parameters.name
            counters[name] = counters.get(name, 0) + weight
            total += weight
            if counters[name] > counters.get(best.parameters.name, 0):
                best = service
        counters[best.parameters.name] -= total
        return best
