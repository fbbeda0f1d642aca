"""Validation of routes against each other and against the services."""

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
    array: document_value.DocumentValue | None,
    *,
    service_names: Container[ids.ServiceName],
) -> tuple[route_settings.RouteSettings, ...]:
    """Validate all routes of a document.

    Parameters
    ----------
    array : DocumentValue or None
        Array of routes; None if the document has no such field.
    service_names : container of ServiceName
        Names of the services in the same document.

    Returns
    -------
    tuple of RouteSettings
        Routes in the order of the document.

    Raises
    ------
    DocumentError
        If a field is invalid, a route names a service that the document
        does not define, or two routes have the same host and path prefix.
    """
    routes: dict[tuple[str, str], route_settings.RouteSettings] = {}
    entries = () if array is None else array.elements(limit=limits.MAX_ROUTES)
    for entry in entries:
        route = check_route(entry, service_names=service_names)
        key = (route.host, route.path_prefix)
        if key in routes:
            raise entry.error('must not repeat a host and path_prefix')
        routes[key] = route
    return tuple(routes.values())


def check_route(
    entry: document_value.DocumentValue,
    *,
    service_names: Container[ids.ServiceName],
) -> route_settings.RouteSettings:
    """Validate one route, including the services that it names.

    Raises
    ------
    DocumentError
        If a field is invalid or the route names a service that the document
        does not define.
    """
    route = parse_route.parse_route(entry)
    _check_services(entry, route, service_names)
    return route


def sort_routes(
    routes: Iterable[route_settings.RouteSettings],
) -> tuple[route_settings.RouteSettings, ...]:
    """Sort routes by host, and within a host by decreasing prefix length."""
    return tuple(sorted(routes, key=_sort_key))


def _check_services(
    entry: document_value.DocumentValue,
    route: route_settings.RouteSettings,
    service_names: Container[ids.ServiceName],
) -> None:
    for service in (route.service, *(part.service for part in route.split)):
        if service not in service_names:
            raise document_value.DocumentValue(
                team=entry.team,
                path=f'{entry.path}.service',
                content=service,
            ).error('must name a service of the same team')


def _sort_key(route: route_settings.RouteSettings) -> tuple[str, int, str]:
    return (route.host, -len(route.path_prefix), route.path_prefix)
