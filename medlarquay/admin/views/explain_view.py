"""Routing of one request by the configuration of a node."""

import dataclasses

__all__ = ('ExplainView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExplainView:
    """Routing of one request by the configuration of a node.

    Attributes
    ----------
    host, target, method : str
        Host header, path with query, and method of the request.
    tree_revision : int
        Revision of the active settings tree; 0 if there is none.
    refusal : str or None
        Reason for which routing would refuse the request; None if it would
        not.
    team, service, path_prefix : str or None
        Matching route.
    rank, timeout_ms : str or None, int or None
        Settings of the route.
    idempotent : bool or None
        Whether the route lists the method as idempotent, so that the request
        may run more than once.
    live, leaving : int
        Number of backend servers of the service in each state.
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
