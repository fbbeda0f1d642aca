"""Smoothed service times by route and rank."""

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
    """Smoothed service times by route and rank.

    The service time is the time for which a request holds a slot.

    Notes
    -----
    Routes of one rank may differ widely. With one estimate for a look-up of
    15 ms and an approval of 80 ms of the same rank, every look-up with a
    limit of 200 ms was refused. A route without samples has an estimate of
    0 s, so its first requests are admitted.
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
        """Smoothed service time over all requests, in seconds."""
        return self._overall

    def rank_mean(self, rank: states.Rank) -> float:
        """Return the mean service time of a rank, in seconds."""
        return self._ranks[rank].mean

    def route_mean(self, rank: states.Rank, route: ids.RouteName) -> float:
        """Return the mean service time of a route, in seconds."""
        return self._routes.mean((rank, route))

    def upper_estimate(self, rank: states.Rank, route: ids.RouteName) -> float:
        """Return a time that few requests of a route exceed, in seconds."""
        return self._routes.upper_estimate((rank, route))

    def expected_total(
        self,
        rank: states.Rank,
        queue: Iterable[queued_work.QueuedWork],
    ) -> float:
        """Return the expected time of all queued requests, in seconds."""
        return sum(self.route_mean(rank, work.route) for work in queue)

    def add(
        self,
        rank: states.Rank,
        route: ids.RouteName,
        seconds: float,
    ) -> None:
        """Add the service time of a request that was answered."""
        self._ranks[rank].add(seconds)
        self._routes.add((rank, route), seconds)
        overall = self._overall or seconds
        self._overall = overall + _SMOOTHING * (seconds - overall)

    def decay(self, rank: states.Rank, route: ids.RouteName) -> None:
        """Lower the estimate after a refusal that relied on it."""
        self._routes.decay((rank, route))
