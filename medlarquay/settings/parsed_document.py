"""A validated document together with its source text."""

import dataclasses

from medlarquay.settings import route_layout, route_settings, team_document

__all__ = ('ParsedDocument',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParsedDocument:
    """A validated document together with its source text.

    Kept so that the next version of the document can be parsed incrementally.

    Attributes
    ----------
    content : bytes
        Document as published (JSON).
    document : TeamDocument
        Validated content of the document.
    layout : RouteLayout or None
        Location of each route in the text; None if the document has no
        routes.
    routes : tuple of RouteSettings
        Routes in the order of the text.
    """

    content: bytes
    document: team_document.TeamDocument
    layout: route_layout.RouteLayout | None
    routes: tuple[route_settings.RouteSettings, ...]
