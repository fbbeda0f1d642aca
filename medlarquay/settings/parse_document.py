"""Parsing and validation of team documents."""

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
    """Parse and validate the document of one team.

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
        If the document is invalid; names the path, the value and the rule.

    Notes
    -----
    The result depends only on the arguments, so all nodes accept or reject
    the same documents. The schema is described in ``docs/settings-tree.md``.
    """
    return parse_whole.parse_whole(team=team, content=content).document


def parse_incrementally(
    *,
    team: ids.TeamName,
    content: bytes,
    earlier: parsed_document.ParsedDocument | None = None,
) -> parsed_document.ParsedDocument:
    """Parse and validate a document, reusing routes of an earlier version.

    Parameters
    ----------
    team : TeamName
        Team that owns the subtree.
    content : bytes
        Document as published (JSON).
    earlier : ParsedDocument or None
        Another version of the document, from which routes with equal text are
        taken. It has no effect on the result.

    Raises
    ------
    DocumentError
        If the document is invalid; names the path, the value and the rule.
    """
    if earlier is not None and earlier.document.team == team:
        changed = parse_change.parse_change(earlier, content)
        if changed is not None:
            return changed
    return parse_whole.parse_whole(team=team, content=content)
