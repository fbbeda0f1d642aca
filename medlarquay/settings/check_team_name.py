"""Checking of the name of a team."""

from medlarquay import ids
from medlarquay.settings import document_value, limits, parse_service

__all__ = ('check_team_name',)


def check_team_name(team: ids.TeamName) -> None:
    """Check the name of a team.

    Raises
    ------
    DocumentError
        If it is no DNS label: a team called a.b could claim the same hosts
        as a team called b.
    """
    document_value.DocumentValue(team=team, path='team', content=team).text(
        parse_service.NAME_PATTERN,
        length=limits.MAX_NAME_LENGTH,
        rule=parse_service.NAME_RULE,
    )
