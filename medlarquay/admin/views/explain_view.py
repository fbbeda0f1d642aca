"""How the node would route one request."""

import dataclasses

__all__ = ('ExplainView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExplainView:
    """How the node would route one request.

    Attributes
    ----------
    host, target, method : str
        The request.
    tree_revision : int
        Revision of the settings tree in force.
    refusal : str or None
        Why the request would be refused by the routes.
    team, service, path_prefix : str or None
        The route that matches.
    rank, timeout_ms : str or None, int or None
        Settings of the route.
    idempotent : bool or None
        Whether the request may run more than once.
    live, leaving : int
        Backend servers of the service by state.
    """

    host: str
    target: str
    method: str
    tree_revision: int = 0
    refusal: str | None = None
    team: str | None = None
    service: str | None = None
    path_prefix: str | None = None
    rank: str | None = None
    timeout_ms: int | None = None
    idempotent: bool | None = None
    live: int = 0
    leaving: int = 0
