"""How callers reach a service."""

import dataclasses

from medlarquay import ids, states
from medlarquay.settings import limits, weighted_service

__all__ = ('RouteSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteSettings:
    """How callers reach a service.

    Attributes
    ----------
    host : str
        Host header that the route matches; ends in the team name.
    path_prefix : str
        Path prefix that the route matches.
    service : ids.ServiceName
        Service of the same team.
    rank : states.Rank
        Priority class of matching requests.
    timeout_ms : int
        Longest time for a call, in milliseconds.
    idempotent_methods : tuple[str, ...]
        Methods that may run more than once.
    split : tuple[weighted_service.WeightedService, ...]
        Services that share the requests by weight, ``service`` first; empty
        when all go to ``service``.
    attempts : int
        Most backend servers that one request is sent to.
    target_ms : int
        Time within which an answer is worth most, in milliseconds; 0 if the
        operators state none.
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
