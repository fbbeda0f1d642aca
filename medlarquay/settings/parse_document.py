"""Parsing and checking of a team's document."""

from medlarquay import ids
from medlarquay.settings import (
    parse_change,
    parse_whole,
    parsed_document,
    team_document,
)

__all__ = ('parse_document', 'parse_incrementally')


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
    return parse_whole.parse_whole(team=team, content=content).document


def parse_incrementally(
    *,
    team: ids.TeamName,
    content: bytes,
    earlier: parsed_document.ParsedDocument | None = None,
) -> parsed_document.ParsedDocument:
    """Check one team's document with the help of an earlier version.

    Parameters
    ----------
    team : TeamName
        Team that owns the subtree.
    content : bytes
        Document as published (JSON).
    earlier : ParsedDocument or None
        Another version of the document; routes with equal texts are taken
        from it. It never changes the decision.

    Raises
    ------
    DocumentError
        If any rule is broken; names the path, the value and the rule.
    """
    if earlier is not None and earlier.document.team == team:
        changed = parse_change.parse_change(earlier, content)
        if changed is not None:
            return changed
    return parse_whole.parse_whole(team=team, content=content)
