"""Checking of documents that follow one another."""

import collections

from medlarquay import ids
from medlarquay.settings import (
    parse_document,
    parsed_document,
    team_document,
)

__all__ = ('DocumentParser',)


class DocumentParser:
    """Checks documents, each with the help of the one before.

    Parameters
    ----------
    cached_teams : int
        Teams whose last document is kept.

    Notes
    -----
    The decision depends on the document alone; a kept version only saves the
    time for routes that are in both.
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
        """Check one team's document whole.

        Raises
        ------
        DocumentError
            If any rule is broken.
        """
        earlier = self._parsed_by_team.get(team)
        if earlier is None or earlier.content != content:
            earlier = parse_document.parse_incrementally(
                team=team,
                content=content,
                earlier=earlier,
            )
            self._parsed_by_team[team] = earlier
        self._parsed_by_team.move_to_end(team)
        while len(self._parsed_by_team) > self._cached_teams:
            self._parsed_by_team.popitem(last=False)
        return earlier.document
