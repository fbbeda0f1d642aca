"""A checked document with the texts that its routes come from."""

import dataclasses

from medlarquay.settings import route_layout, route_settings, team_document

__all__ = ('ParsedDocument',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParsedDocument:
    """A checked document with the texts that its routes come from.

    Attributes
    ----------
    content : bytes
        Document as published (JSON).
    document : TeamDocument
        The same, checked.
    layout : RouteLayout or None
        Texts of the routes; None if it has none.
    routes : tuple of RouteSettings
        Routes in the order of the texts.
    """

    content: bytes
    document: team_document.TeamDocument
    layout: route_layout.RouteLayout | None
    routes: tuple[route_settings.RouteSettings, ...]
