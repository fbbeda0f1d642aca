"""How callers reach a service."""

import dataclasses

from medlarquay import ids, states

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
    """

    host: str
    path_prefix: str
    service: ids.ServiceName
    rank: states.Rank
    timeout_ms: int
    idempotent_methods: tuple[str, ...]
