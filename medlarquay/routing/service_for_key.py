"""The service that a request key is wanted for."""

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
    """Find the service that a request key is wanted for.

    Parameters
    ----------
    current : Snapshot
        Configuration in force.
    host : bytes
        Host header without port.
    target : bytes
        Path and query; ``service=<name>`` picks one of several services
        of a host.

    Returns
    -------
    Service or None
        Without a name, the service of the route that takes ``/``, or else
        the one with the shortest prefix.
    """
    routes = current.routes.get(host, ())
    names = url_parse.parse_qs(target.partition(b'?')[2]).get(_QUERY_FIELD)
    if names is None:
        found = snapshots.match_route(current, host=host, target=_ROOT)
        if found is not None:
            return found.service
        return routes[-1].service if routes else None
    wanted = names[0].decode(errors='replace')
    for route in routes:
        if route.service.parameters.name == wanted:
            return route.service
    return None
