"""Validation of routes against each other and against the services."""

from collections.abc import Container, Iterable

from medlarquay import ids
from medlarquay.settings import (
    document_value,
    limits,
    route_settings,
    route_templates,
)

__all__ = ('check_fields', 'check_routes', 'check_services', 'sort_routes')

_TEMPLATES = route_templates.RouteTemplates()


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
        route = check_fields(entry)
        check_services(entry, route, service_names)
        key = (route.host, route.path_prefix)
        if key in routes:
            raise entry.error('must not repeat a host and path_prefix')
        routes[key] = route
    return tuple(routes.values())


def check_fields(
    entry: document_value.DocumentValue,
) -> route_settings.RouteSettings:
    """Validate the fields of one route by themselves.

    Raises
    ------
    DocumentError
        If a field is invalid.
    """
    return _TEMPLATES.parse(entry)


def check_services(
    entry: document_value.DocumentValue,
    route: route_settings.RouteSettings,
    service_names: Container[ids.ServiceName],
) -> None:
    """Check that a document defines the services that a route names.

    Raises
    ------
    DocumentError
        If it does not.
    """
    for service in route.services:
        if service not in service_names:
            raise document_value.DocumentValue(
                team=entry.team,
                path=f'{entry.path}.service',
                content=service,
            ).error('must name a service of the same team')


def sort_routes(
    routes: Iterable[route_settings.RouteSettings],
) -> tuple[route_settings.RouteSettings, ...]:
    """Sort routes by host, and within a host by decreasing prefix length."""
    return tuple(sorted(routes, key=_sort_key))


def _sort_key(route: route_settings.RouteSettings) -> tuple[str, int, str]:
    return (route.host, -len(route.path_prefix), route.path_prefix)
