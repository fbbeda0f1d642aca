"""Where the routes of a document stand in its text."""

import dataclasses
import json
import re

from medlarquay.settings import document_field

__all__ = ('RouteLayout', 'find_layout', 'skip_comma')

_SPACE = re.compile('[ \t\n\r]*')
_DECODER = json.JSONDecoder()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteLayout:
    """Where the routes of a document stand in its text.

    Attributes
    ----------
    text : str
        Text of the document.
    spans : tuple of (int, int)
        Start and end of each route, in the order of the document.
    """

    text: str
    spans: tuple[tuple[int, int], ...]

    @property
    def head(self) -> str:
        """Text before the first route."""
        return self.text[: self.spans[0][0]]

    @property
    def tail(self) -> str:
        """Text after the last route."""
        return self.text[self.spans[-1][1] :]

    def text_of(self, first: int, last: int) -> str:
        """Return the text from one route to another, both included."""
        return self.text[self.spans[first][0] : self.spans[last][1]]


def find_layout(text: str) -> RouteLayout | None:
    """Return the layout of a valid document; None if it has no routes."""
    place: int | None = _skip_space(text, text.index('{') + 1)
    while place is not None:
        name, end = _DECODER.raw_decode(text, place)
        first = _skip_space(text, text.index(':', end) + 1)
        if name == document_field.DocumentField.ROUTES.value:
            return _layout_from(text, _skip_space(text, first + 1))
        _, end = _DECODER.raw_decode(text, first)
        place = skip_comma(text, end)
    return None


def skip_comma(text: str, place: int) -> int | None:
    """Return where the element after a comma begins; None at the last one."""
    comma = _skip_space(text, place)
    if text.startswith(',', comma):
        return _skip_space(text, comma + 1)
    return None


def _skip_space(text: str, place: int) -> int:
    """Return the next place that is no white space."""
    found = _SPACE.match(text, place)
    return place if found is None else found.end()


def _layout_from(text: str, first: int) -> RouteLayout:
    spans = []
    place: int | None = first
    while place is not None:
        _, end = _DECODER.raw_decode(text, place)
        spans.append((place, end))
        place = skip_comma(text, end)
    return RouteLayout(text=text, spans=tuple(spans))
