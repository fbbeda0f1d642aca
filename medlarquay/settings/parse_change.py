"""Incremental validation of a document against an earlier version."""

import dataclasses

from medlarquay import errors
from medlarquay.settings import (
    check_routes,
    incremental_parser,
    limits,
    parse_whole,
    parsed_document,
    route_layout,
    route_settings,
    service_settings,
)

__all__ = ('parse_change',)

_Services = tuple[service_settings.ServiceSettings, ...]


def parse_change(
    earlier: parsed_document.ParsedDocument,
    content: bytes,
) -> parsed_document.ParsedDocument | None:
    """Validate a document of which an earlier version was validated.

    Routes whose text is unchanged are taken from the earlier version; only
    the others are decoded and validated.

    Returns
    -------
    ParsedDocument or None
        None if the document is invalid or has no routes. The caller then
        parses the whole document, which also produces the error message.

    Notes
    -----
    A JSON object is complete at its closing brace. So if the text of an
    earlier route is found where an array element begins, that element is the
    same route and needs no second validation by itself. Rules between routes
    are checked for all of them. The rest of the document, which is short, is
    validated as a document without routes.
    """
    layout = earlier.layout
    if layout is None or len(content) > limits.MAX_DOCUMENT_BYTES:
        return None
    parser = incremental_parser.IncrementalParser(
        earlier=earlier, layout=layout
    )
    try:
        services = _run(parser, content, earlier)
    except (errors.DocumentError, ValueError, RecursionError):
        return None
    if not _are_valid_together(parser.routes, services):
        return None
    return parsed_document.ParsedDocument(
        content=content,
        document=dataclasses.replace(
            earlier.document,
            services=services,
            routes=check_routes.sort_routes(parser.routes),
        ),
        layout=parser.layout,
        routes=tuple(parser.routes),
    )


def _run(
    parser: incremental_parser.IncrementalParser,
    content: bytes,
    earlier: parsed_document.ParsedDocument,
) -> _Services:
    parser.run(content.decode())
    return _parse_services(parser.layout, earlier)


def _parse_services(
    changed: route_layout.RouteLayout,
    earlier: parsed_document.ParsedDocument,
) -> _Services:
    if earlier.layout is not None and changed.frame == earlier.layout.frame:
        return earlier.document.services
    document = parse_whole.parse_whole(
        team=earlier.document.team,
        content=changed.frame.encode(),
    ).document
    # Routes that no comma separates from the others are left in the frame.
    if document.routes:
        raise ValueError('the routes are malformed')
    return document.services


def _are_valid_together(
    routes: list[route_settings.RouteSettings],
    services: _Services,
) -> bool:
    names = {service.name for service in services}
    if not names.issuperset(
        service for route in routes for service in route.services
    ):
        return False
    keys = {(route.host, route.path_prefix) for route in routes}
    return len(keys) == len(routes)
