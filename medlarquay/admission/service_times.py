"""Smoothed service times by route."""

from collections.abc import Iterable

from medlarquay import ids, states
from medlarquay.admission import (
    estimate_table,
    queued_work,
    smoothed_estimate,
)

__all__ = ('ServiceTimes',)

_SMOOTHING = 0.1

# A caller may lower the rank of a request, so a route can have several.
_Kind = tuple[states.Rank, ids.RouteName]


class ServiceTimes:
    """Smoothed time that a request holds a slot, for each route and rank.

    Notes
    -----
    Requests of one rank may differ widely: a look-up of 15 ms and an
    approval of 80 ms with the same rank gave one estimate that refused every
    look-up with a limit of 200 ms. A route without samples counts as 0 s, so
    its first requests are admitted.
    """

    def __init__(self) -> None:
        self._routes: estimate_table.EstimateTable[_Kind] = (
            estimate_table.EstimateTable(smoothing=_SMOOTHING)
        )
        self._ranks = {
            rank: smoothed_estimate.SmoothedEstimate(smoothing=_SMOOTHING)
            for rank in states.Rank
        }
        self._overall: float = 0

    @property
    def overall(self) -> float:
        """Smoothed time over all requests, in seconds."""
        return self._overall

    def expected(self, rank: states.Rank) -> float:
        """Return the expected time of a request of a rank, in seconds."""
        return self._ranks[rank].mean

    def of_route(self, rank: states.Rank, route: ids.RouteName) -> float:
        """Return the expected time of a request of a route, in seconds."""
        return self._routes.mean((rank, route))

    def cautious(self, rank: states.Rank, route: ids.RouteName) -> float:
        """Return a time that few requests of a route exceed, in seconds."""
        return self._routes.cautious((rank, route))

    def queued(
        self,
        rank: states.Rank,
        queue: Iterable[queued_work.QueuedWork],
    ) -> float:
        """Return the expected time of queued requests, in seconds."""
        return sum(self.of_route(rank, work.route) for work in queue)

    def add(
        self,
        rank: states.Rank,
        route: ids.RouteName,
        seconds: float,
    ) -> None:
        """Add a sample."""
        self._ranks[rank].add(seconds)
        self._routes.add((rank, route), seconds)
        overall = self._overall or seconds
        self._overall = overall + _SMOOTHING * (seconds - overall)

    def relax(self, rank: states.Rank, route: ids.RouteName) -> None:
        """Lower the estimate after a refusal that relied on it."""
        self._routes.relax((rank, route))
