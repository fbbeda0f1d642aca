"""Location of the routes in the text of a document."""

import dataclasses
import json
import re

from medlarquay.settings import document_field

__all__ = ('RouteLayout', 'find_first_route', 'find_layout', 'skip_comma')

_SPACE = re.compile('[ \t\n\r]*')
_DECODER = json.JSONDecoder()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteLayout:
    """Location of the routes in the text of a document.

    Attributes
    ----------
    text : str
        Text of the document.
    spans : tuple of (int, int)
        Start (included) and end (excluded) of each route, as character
        offsets in the order of the document.
    """

    text: str
    spans: tuple[tuple[int, int], ...]

    @property
    def frame(self) -> str:
        """Text of the document without its routes."""
        first_start, _ = self.spans[0]
        _, last_end = self.spans[-1]
        return self.text[:first_start] + self.text[last_end:]

    def text_of(self, first: int, last: int) -> str:
        """Return the text from one route to another, both included.

        Parameters
        ----------
        first, last : int
            Indices of the routes.
        """
        return self.text[self.spans[first][0] : self.spans[last][1]]


def find_layout(text: str) -> RouteLayout | None:
    """Locate the routes of a valid document; return None if it has none."""
    first = find_first_route(text)
    return None if first is None else _layout_from(text, first)


def find_first_route(text: str) -> int | None:
    """Locate the first route of a document.

    Returns
    -------
    int or None
        Offset of the first character in the array of routes; None if there
        is no such array.

    Raises
    ------
    ValueError
        If the text before the routes is malformed.
    """
    offset: int | None = _skip_space(text, text.index('{') + 1)
    while offset is not None:
        name, end = _DECODER.raw_decode(text, offset)
        value_start = _skip_space(text, text.index(':', end) + 1)
        if name == document_field.DocumentField.ROUTES.value:
            return _inside_array(text, value_start)
        _, end = _DECODER.raw_decode(text, value_start)
        offset = skip_comma(text, end)
    return None


def skip_comma(text: str, offset: int) -> int | None:
    """Return the offset of the next element, or None after the last one.

    Parameters
    ----------
    text : str
        Text of the document.
    offset : int
        End of an array element or object member.
    """
    comma = _skip_space(text, offset)
    if text.startswith(',', comma):
        return _skip_space(text, comma + 1)
    return None


def _skip_space(text: str, offset: int) -> int:
    """Return the offset of the next character that is not white space."""
    match = _SPACE.match(text, offset)
    return offset if match is None else match.end()


def _inside_array(text: str, start: int) -> int | None:
    return _skip_space(text, start + 1) if text[start] == '[' else None


def _layout_from(text: str, first: int) -> RouteLayout:
    spans = []
    offset: int | None = first
    while offset is not None:
        _, end = _DECODER.raw_decode(text, offset)
        spans.append((offset, end))
        offset = skip_comma(text, end)
    return RouteLayout(text=text, spans=tuple(spans))
