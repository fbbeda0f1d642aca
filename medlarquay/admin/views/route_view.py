"""Active route."""

import dataclasses

__all__ = ('RouteView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteView:
    """Active route.

    Attributes
    ----------
    host, path_prefix : str
        Host and path prefix that the route matches.
    team, service : str
        Service that the route leads to.
    rank : str
        Priority class of its requests.
    timeout_ms : int
        Timeout of a call, in milliseconds.
    idempotent_methods : tuple of str
        Methods whose requests may run more than once.
    live, leaving : int
        Number of backend servers of the service in each state.
    """

    host: str
    path_prefix: str
    team: str
    service: str
    rank: str
    timeout_ms: int
    idempotent_methods: tuple[str, ...]
    live: int
    leaving: int
