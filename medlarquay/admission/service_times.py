"""Smoothed service times by route."""

import collections
from collections.abc import Mapping

from medlarquay import ids, states
from medlarquay.admission import next_work, queued_work, time_estimate

__all__ = ('ServiceTimes',)

_SMOOTHING = 0.1
# Routes of earlier configurations are forgotten beyond this number.
_MAX_ROUTES = 256

_Queue = Mapping[ids.ExchangeId, queued_work.QueuedWork]
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
        self._routes: collections.OrderedDict[
            _Kind, time_estimate.TimeEstimate
        ] = collections.OrderedDict()
        self._ranks = {
            rank: time_estimate.TimeEstimate() for rank in states.Rank
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
        found = self._routes.get((rank, route))
        return 0 if found is None else found.mean

    def cautious(self, rank: states.Rank, route: ids.RouteName) -> float:
        """Return a time that few requests of a route exceed, in seconds."""
        found = self._routes.get((rank, route))
        return 0 if found is None else found.cautious

    def queued(
        self,
        rank: states.Rank,
        queue: _Queue,
    ) -> float:
        """Return the expected time of the queued requests, in seconds."""
        return sum(self.of_route(rank, work.route) for work in queue.values())

    def queued_before(
        self,
        place: next_work.Place,
        rank: states.Rank,
        queue: _Queue,
        now: float,
    ) -> float:
        """Return the expected time of the requests that start first."""
        return sum(
            self.of_route(rank, work.route)
            for work in queue.values()
            if next_work.place_of(work, now) <= place
        )

    def add(
        self,
        rank: states.Rank,
        route: ids.RouteName,
        seconds: float,
    ) -> None:
        """Add a sample."""
        self._ranks[rank].add(seconds)
        kind = (rank, route)
        found = self._routes.get(kind)
        if found is None:
            found = time_estimate.TimeEstimate()
            self._routes[kind] = found
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        found.add(seconds)
        self._routes.move_to_end(kind)
        overall = self._overall or seconds
        self._overall = overall + _SMOOTHING * (seconds - overall)

    def relax(self, rank: states.Rank, route: ids.RouteName) -> None:
        """Lower the estimate after a refusal that relied on it."""
        found = self._routes.get((rank, route))
        if found is not None:
            found.relax()
