"""Sharing of the requests of a route between its services."""

from medlarquay import ids, settings, snapshots

__all__ = ('SplitRoundRobin',)

_Turns = dict[ids.ServiceName, int]


class SplitRoundRobin:
    """Shares the requests of split routes by weight.

    Notes
    -----
    Smooth weighted round robin, as in nginx: each request adds to every part
    its weight, and the part with the most takes the request and pays the sum
    of the weights. The shares are exact after as many requests as the weights
    add up to, so that a short measurement finds them too.
    """

    def __init__(self) -> None:
        self._turns: dict[settings.RouteSettings, _Turns] = {}

    def apply_snapshot(self, current: snapshots.Snapshot) -> None:
        """Forget the routes that are not in force any more."""
        if not self._turns:
            return
        known = {
            route.parameters
            for group in current.routes.values()
            for route in group
            if route.split
        }
        self._turns = {
            parameters: turns
            for parameters, turns in self._turns.items()
            if parameters in known
        }

    def next_service(self, route: snapshots.Route) -> snapshots.Service:
        """Return the service that takes the next request of a route."""
        if not route.split:
            return route.service
        turns = self._turns.setdefault(route.parameters, {})
        total = 0
        best = route.service
        for service, weight in route.split:
            name = service.parameters.name
            turns[name] = turns.get(name, 0) + weight
            total += weight
            if turns[name] > turns.get(best.parameters.name, 0):
                best = service
        turns[best.parameters.name] -= total
        return best
