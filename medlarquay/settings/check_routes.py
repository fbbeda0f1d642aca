"""Rules that hold between the routes and services of one document."""

from collections.abc import Container, Iterable

from medlarquay import ids
from medlarquay.settings import (
    document_value,
    limits,
    parse_route,
    route_settings,
)

__all__ = ('check_route', 'check_routes', 'sort_routes')


def check_routes(
    found: document_value.DocumentValue | None,
    *,
    known: Container[ids.ServiceName],
) -> tuple[route_settings.RouteSettings, ...]:
    """Check all routes, each by itself and against the others.

    Parameters
    ----------
    found : DocumentValue or None
        Array of routes, if the document has one.
    known : container of ServiceName
        Services of the same document.

    Returns
    -------
    tuple of RouteSettings
        In the order of the document.

    Raises
    ------
    DocumentError
        If a rule is broken, a route names an unknown service, or two routes
        have the same host and prefix.
    """
    routes: dict[tuple[str, str], route_settings.RouteSettings] = {}
    entries = () if found is None else found.elements(limit=limits.MAX_ROUTES)
    for entry in entries:
        route = check_route(entry, known=known)
        key = (route.host, route.path_prefix)
        if key in routes:
            raise entry.error('must not repeat a host and path_prefix')
        routes[key] = route
    return tuple(routes.values())


def check_route(
    entry: document_value.DocumentValue,
    *,
    known: Container[ids.ServiceName],
) -> route_settings.RouteSettings:
    """Check one route by itself and against the services.

    Raises
    ------
    DocumentError
        If a rule is broken or the route names an unknown service.
    """
    route = parse_route.parse_route(entry)
    _check_services(entry, route, known)
    return route


def sort_routes(
    routes: Iterable[route_settings.RouteSettings],
) -> tuple[route_settings.RouteSettings, ...]:
    """Return routes in order of host, longest prefix first within a host."""
    return tuple(sorted(routes, key=_order))


def _check_services(
    entry: document_value.DocumentValue,
    route: route_settings.RouteSettings,
    known: Container[ids.ServiceName],
) -> None:
    for service in (route.service, *(part.service for part in route.split)):
        if service not in known:
            raise document_value.DocumentValue(
                team=entry.team,
                path=f'{entry.path}.service',
                content=service,
            ).error('must name a service of the same team')


def _order(route: route_settings.RouteSettings) -> tuple[str, int, str]:
    return (route.host, -len(route.path_prefix), route.path_prefix)
