"""Route matching."""

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
        Configuration in force.
    host : bytes
        Host header without port.
    target : bytes
        Path and query.

    Returns
    -------
    Route or None
        The route with the longest matching prefix, if any.
    """
    for candidate in current.routes.get(host, ()):
        if target.startswith(candidate.prefix):
            return candidate
    return None
