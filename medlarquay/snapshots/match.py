"""Matching of requests to routes."""

from medlarquay.snapshots import route, snapshot

__all__ = ('match_route',)


def match_route(
    current: snapshot.Snapshot,
    *,
    host: bytes,
    target: bytes,
) -> route.Route | None:
    """Find the route of a request.

    Parameters
    ----------
    current : Snapshot
        Snapshot in force.
    host : bytes
        Host header without port, in any case (RFC 9110, section 4.2.3).
    target : bytes
        Path and query of the request.

    Returns
    -------
    Route or None
        Route with the longest prefix that matches whole path segments; None
        if no route of the host matches.
    """
    group = current.routes.get(host.lower())
    return None if group is None else group.find(target)
