"""Validation of successive versions of team documents."""

import collections

from medlarquay import ids
from medlarquay.settings import (
    parse_document,
    parsed_document,
    team_document,
)

__all__ = ('DocumentParser',)


class DocumentParser:
    """Validates documents and reuses routes from the previous version.

    Parameters
    ----------
    cached_teams : int
        Number of teams whose last valid document is cached; the least
        recently used one is evicted.

    Notes
    -----
    Whether a document is accepted depends on the document alone. The cached
    version only saves the validation of routes that are in both versions.
    """

    def __init__(self, *, cached_teams: int) -> None:
        self._cached_teams = cached_teams
        self._parsed_by_team: collections.OrderedDict[
            ids.TeamName, parsed_document.ParsedDocument
        ] = collections.OrderedDict()

    def parse(
        self,
        *,
        team: ids.TeamName,
        content: bytes,
    ) -> team_document.TeamDocument:
        """Parse and validate the document of one team.

        Raises
        ------
        DocumentError
            If the document is invalid.
        """
        parsed = self._parsed_by_team.get(team)
        if parsed is None or parsed.content != content:
            parsed = parse_document.parse_incrementally(
                team=team,
                content=content,
                earlier=parsed,
            )
            self._parsed_by_team[team] = parsed
        self._parsed_by_team.move_to_end(team)
        while len(self._parsed_by_team) > self._cached_teams:
            self._parsed_by_team.popitem(last=False)
        return parsed.document
