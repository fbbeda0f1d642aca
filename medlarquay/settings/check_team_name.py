"""Validation of team names."""

from medlarquay import ids
from medlarquay.settings import document_value, limits, parse_service

__all__ = ('check_team_name',)


def check_team_name(team: ids.TeamName) -> None:
    """Check that the name of a team is a DNS label.

    Raises
    ------
    DocumentError
        If it is not a DNS label. A dot in the name would let two teams claim
        the same hosts: those of a team ``a.b`` also end in ``.b``.
    """
    document_value.DocumentValue(team=team, path='team', content=team).text(
        parse_service.NAME_PATTERN,
        length=limits.MAX_NAME_LENGTH,
        rule=parse_service.NAME_RULE,
    )
