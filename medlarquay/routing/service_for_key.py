"""Service that an idempotency key is requested for."""

from urllib import parse as url_parse

from medlarquay import snapshots

__all__ = ('KEY_PATH', 'service_for_key')

KEY_PATH = b'/.medlarquay/request-keys'

_ROOT = b'/'
_QUERY_FIELD = b'service'


def service_for_key(
    current: snapshots.Snapshot,
    *,
    host: bytes,
    target: bytes,
) -> snapshots.Service | None:
    """Find the service that an idempotency key is requested for.

    Parameters
    ----------
    current : Snapshot
        Configuration in force.
    host : bytes
        Host header without port.
    target : bytes
        Path and query; ``service=<name>`` selects one of several services
        of a host.

    Returns
    -------
    Service or None
        Without ``service=``, the service of the route that matches ``/``, or
        else of the route with the shortest prefix. None if the host has no
        such route or service.
    """
    routes = current.routes.get(host, ())
    names = url_parse.parse_qs(target.partition(b'?')[2]).get(_QUERY_FIELD)
    if names is None:
        root_route = snapshots.match_route(current, host=host, target=_ROOT)
        if root_route is not None:
            return root_route.service
        return routes[-1].service if routes else None
    requested = names[0].decode(errors='replace')
    for route in routes:
        if route.service.parameters.name == requested:
            return route.service
    return None
