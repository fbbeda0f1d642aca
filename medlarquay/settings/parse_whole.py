"""Parsing and validation of a whole document."""

from medlarquay import ids
from medlarquay.settings import (
    check_routes,
    check_team_name,
    document_field,
    load_document,
    parse_services,
    parsed_document,
    route_layout,
    team_document,
)

__all__ = ('parse_whole',)


def parse_whole(
    *,
    team: ids.TeamName,
    content: bytes,
) -> parsed_document.ParsedDocument:
    """Parse and validate the whole document of one team.

    Raises
    ------
    DocumentError
        If the document is invalid; names the path, the value and the rule.
    """
    check_team_name.check_team_name(team)
    document = load_document.load_document(team=team, content=content)
    fields = document.fields(document_field.DocumentField)
    services = parse_services.parse_services(
        fields.get(document_field.DocumentField.SERVICES),
    )
    routes = check_routes.check_routes(
        fields.get(document_field.DocumentField.ROUTES),
        service_names=frozenset(service.name for service in services),
    )
    return parsed_document.ParsedDocument(
        content=content,
        document=team_document.TeamDocument(
            team=team,
            services=services,
            routes=check_routes.sort_routes(routes),
        ),
        layout=route_layout.find_layout(content.decode()) if routes else None,
        routes=routes,
    )
