"""Route matching."""

from medlarquay.snapshots import route, snapshot

__all__ = ('match_route',)

# What may follow a prefix: nothing, a further segment or the query.
_SEGMENT_ENDS = (b'', b'/', b'?')


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
        Host header without port, in any case (RFC 9110, section 4.2.3).
    target : bytes
        Path and query.

    Returns
    -------
    Route or None
        The route with the longest prefix that matches whole path segments,
        if any.
    """
    for candidate in current.routes.get(host.lower(), ()):
        if _covers(candidate.prefix, target):
            return candidate
    return None


def _covers(prefix: bytes, target: bytes) -> bool:
    if not target.startswith(prefix):
        return False
    if prefix.endswith(b'/'):
        return True
    end = len(prefix)
    return target[end : end + 1] in _SEGMENT_ENDS
