"""A route in force."""

import dataclasses

__all__ = ('RouteView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteView:
    """A route in force.

    Attributes
    ----------
    host, path_prefix : str
        What the route matches.
    team, service : str
        Service that it points at.
    rank : str
        Priority class of its requests.
    timeout_ms : int
        Longest time for a call, in milliseconds.
    idempotent_methods : tuple of str
        Methods that may run more than once.
    live, leaving : int
        Backend servers of the service by state.
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
