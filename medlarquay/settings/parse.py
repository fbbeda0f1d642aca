"""Parsing and checking of a team's document."""

from medlarquay import ids
from medlarquay.settings import (
    check_routes,
    document_field,
    document_value,
    limits,
    load_document,
    parse_service,
    service_settings,
    team_document,
)

__all__ = ('parse_document',)


def parse_document(
    *,
    team: ids.TeamName,
    content: bytes,
) -> team_document.TeamDocument:
    """Check one team's document whole.

    Parameters
    ----------
    team : TeamName
        Team that owns the subtree.
    content : bytes
        Document as published (JSON).

    Returns
    -------
    TeamDocument

    Raises
    ------
    DocumentError
        If any rule is broken; names the path, the value and the rule.

    Notes
    -----
    The decision depends on nothing but the arguments, so all nodes reach the
    same one. The schema is described in ``docs/settings-tree.md``.
    """
    _check_team(team)
    document = load_document.load_document(team=team, content=content)
    found = document.fields(document_field.DocumentField)
    services = _parse_services(found.get(document_field.DocumentField.SERVICES))
    routes = found.get(document_field.DocumentField.ROUTES)
    return team_document.TeamDocument(
        team=team,
        services=services,
        routes=check_routes.check_routes(
            () if routes is None else routes.elements(limit=limits.MAX_ROUTES),
            known=frozenset(service.name for service in services),
        ),
    )


def _check_team(team: ids.TeamName) -> None:
    # A team called a.b could claim the same hosts as a team called b.
    document_value.DocumentValue(team=team, path='team', content=team).text(
        parse_service.NAME_PATTERN,
        length=limits.MAX_NAME_LENGTH,
        rule=parse_service.NAME_RULE,
    )


def _parse_services(
    entry: document_value.DocumentValue | None,
) -> tuple[service_settings.ServiceSettings, ...]:
    if entry is None:
        return ()
    members = entry.members(limit=limits.MAX_SERVICES)
    return tuple(
        parse_service.parse_service(name, member)
        for name, member in sorted(members.items(), key=_name_of)
    )


def _name_of(member: tuple[str, document_value.DocumentValue]) -> str:
    return member[0]
