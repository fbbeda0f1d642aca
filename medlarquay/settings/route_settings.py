"""Settings of one route."""

import dataclasses

from medlarquay import ids, states
from medlarquay.settings import limits, weighted_service

__all__ = ('RouteSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteSettings:
    """Settings of one route: which requests go to which service, and how.

    Attributes
    ----------
    host : str
        Host header that the route matches; ends in the team name, except
        for the shared team.
    path_prefix : str
        Path prefix that the route matches.
    service : ids.ServiceName
        Service of the same team.
    rank : states.Rank
        Priority class of matching requests.
    timeout_ms : int
        Maximum timeout of a call, in milliseconds.
    idempotent_methods : tuple[str, ...]
        HTTP methods whose requests may run more than once.
    split : tuple[weighted_service.WeightedService, ...]
        Services among which the requests are split by weight, ``service``
        first; empty if all requests go to ``service``.
    attempts : int
        Maximum number of backend servers to which one request is sent.
    target_ms : int
        Target latency: time within which an answer has its full value, in
        milliseconds; 0 if the operators set none.
    """

    host: str
    path_prefix: str
    service: ids.ServiceName
    rank: states.Rank
    timeout_ms: int
    idempotent_methods: tuple[str, ...]
    split: tuple[weighted_service.WeightedService, ...] = ()
    attempts: int = limits.DEFAULT_ATTEMPTS
    target_ms: int = 0

    @property
    def services(self) -> tuple[ids.ServiceName, ...]:
        """Services that the route names, some of them possibly twice."""
        return (self.service, *(part.service for part in self.split))
