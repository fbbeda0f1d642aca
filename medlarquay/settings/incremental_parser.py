"""Parsing of the routes of a changed document."""

from medlarquay.settings import (
    check_routes,
    document_value,
    limits,
    load_document,
    parsed_document,
    route_layout,
    route_settings,
)

__all__ = ('IncrementalParser',)

_DECODER = load_document.strict_decoder()


class IncrementalParser:
    """Parses the routes of a text, reusing those of an earlier version.

    Parameters
    ----------
    earlier : ParsedDocument
        Earlier version.
    layout : RouteLayout
        Location of its routes.

    Attributes
    ----------
    text : str
        Text that was parsed.
    spans : list of (int, int)
        Start and end of each route in the text, in characters.
    routes : list of RouteSettings
        Routes in the order of the text.
    """

    def __init__(
        self,
        *,
        earlier: parsed_document.ParsedDocument,
        layout: route_layout.RouteLayout,
    ) -> None:
        self.text = ''
        self.spans: list[tuple[int, int]] = []
        self.routes: list[route_settings.RouteSettings] = []
        self._earlier = earlier
        self._layout = layout
        self._index_by_text: dict[str, int] = {}
        # Index of the earlier route that is expected next in the text.
        self._next_index = 0

    @property
    def layout(self) -> route_layout.RouteLayout:
        """Location of the routes that were parsed."""
        return route_layout.RouteLayout(
            text=self.text,
            spans=tuple(self.spans),
        )

    def run(self, text: str) -> None:
        """Parse all routes of a text.

        Raises
        ------
        DocumentError, ValueError
            If a route is malformed, or there are more than allowed or none.
        """
        self.text = text
        offset = route_layout.find_first_route(text)
        if offset is None:
            raise ValueError('there are no routes')
        while offset is not None:
            if not self._reuse_expected(offset):
                self._decode(offset)
            if len(self.routes) > limits.MAX_ROUTES:
                raise ValueError('there are too many routes')
            offset = route_layout.skip_comma(text, self.spans[-1][1])

    def _reuse_expected(self, offset: int) -> int:
        """Reuse the unchanged routes at an offset; return 0 if there are none.

        The number of routes compared at once doubles while they match and is
        then halved, so that a long unchanged sequence takes few comparisons.
        """
        reused = 0
        step = 1
        growing = True
        while step:
            last = min(self._next_index + step, len(self._layout.spans)) - 1
            if last >= self._next_index and self._matches_expected(
                last, offset
            ):
                offset = self._reuse(last, offset)
                reused += step
            else:
                growing = False
            step = 2 * step if growing else step // 2
        return reused

    def _matches_expected(self, last: int, offset: int) -> bool:
        expected_text = self._layout.text_of(self._next_index, last)
        return self.text.startswith(expected_text, offset)

    def _reuse(self, last: int, offset: int) -> int:
        first = self._next_index
        shift = offset - self._layout.spans[first][0]
        self.spans.extend(
            (start + shift, end + shift)
            for start, end in self._layout.spans[first : last + 1]
        )
        self.routes.extend(self._earlier.routes[first : last + 1])
        self._next_index = last + 1
        next_offset = route_layout.skip_comma(self.text, self.spans[-1][1])
        return len(self.text) if next_offset is None else next_offset

    def _decode(self, offset: int) -> None:
        tree, end = _DECODER.raw_decode(self.text, offset)
        index = self._earlier_index(self.text[offset:end])
        if index is not None:
            self._next_index = index
            self._reuse(index, offset)
            return
        self._next_index += 1
        self.spans.append((offset, end))
        self.routes.append(
            check_routes.check_fields(
                document_value.DocumentValue(
                    team=self._earlier.document.team,
                    path='route',
                    content=tree,
                ),
            ),
        )

    def _earlier_index(self, text: str) -> int | None:
        if not self._index_by_text:
            self._index_by_text = {
                self._layout.text[start:end]: index
                for index, (start, end) in enumerate(self._layout.spans)
            }
        return self._index_by_text.get(text)
