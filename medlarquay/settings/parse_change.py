"""Incremental validation of a document against an earlier version."""

import dataclasses

from medlarquay import errors, ids
from medlarquay.settings import (
    check_routes,
    document_value,
    limits,
    load_document,
    parsed_document,
    route_layout,
    route_settings,
)

__all__ = ('parse_change',)

_DECODER = load_document.strict_decoder()


def parse_change(
    earlier: parsed_document.ParsedDocument,
    content: bytes,
) -> parsed_document.ParsedDocument | None:
    """Validate a document that differs from an earlier version only in routes.

    Routes whose text is unchanged are taken from the earlier version; only
    the others are decoded and validated.

    Returns
    -------
    ParsedDocument or None
        None if anything besides the routes differs or the document is
        invalid. The caller then parses the whole document, which also
        produces the error message.

    Notes
    -----
    A JSON object is complete at its closing brace. So if the text of an
    earlier route is found where an array element begins, that element is the
    same route and needs no second validation by itself. Rules between routes
    are checked for all of them.
    """
    layout = earlier.layout
    if layout is None or len(content) > limits.MAX_DOCUMENT_BYTES:
        return None
    parser = _IncrementalParser(earlier=earlier, layout=layout)
    try:
        only_routes_differ = parser.run(content.decode())
    except (errors.DocumentError, ValueError, RecursionError):
        return None
    if not only_routes_differ or not _have_unique_prefixes(parser.routes):
        return None
    return parsed_document.ParsedDocument(
        content=content,
        document=dataclasses.replace(
            earlier.document,
            routes=check_routes.sort_routes(parser.routes),
        ),
        layout=route_layout.RouteLayout(
            text=parser.text,
            spans=tuple(parser.spans),
        ),
        routes=tuple(parser.routes),
    )


class _IncrementalParser:
    """Parses the routes of a text, reusing those of an earlier version."""

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

    def run(self, text: str) -> bool:
        """Parse all routes of a text.

        Returns
        -------
        bool
            Whether the text is unchanged before the first and after the last
            route, and has no more routes than allowed.
        """
        self.text = text
        head = self._layout.head
        if not text.startswith(head):
            return False
        offset: int | None = len(head)
        end = len(text)
        while offset is not None:
            if not self._reuse_expected(offset):
                self._decode(offset)
            if len(self.routes) > limits.MAX_ROUTES:
                return False
            end = self.spans[-1][1]
            offset = route_layout.skip_comma(text, end)
        return text[end:] == self._layout.tail

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
            check_routes.check_route(
                document_value.DocumentValue(
                    team=self._earlier.document.team,
                    path='route',
                    content=tree,
                ),
                service_names=self._service_names(),
            ),
        )

    def _earlier_index(self, text: str) -> int | None:
        if not self._index_by_text:
            self._index_by_text = {
                self._layout.text[start:end]: index
                for index, (start, end) in enumerate(self._layout.spans)
            }
        return self._index_by_text.get(text)

    def _service_names(self) -> frozenset[ids.ServiceName]:
        services = self._earlier.document.services
        return frozenset(service.name for service in services)


def _have_unique_prefixes(routes: list[route_settings.RouteSettings]) -> bool:
    keys = {(route.host, route.path_prefix) for route in routes}
    return len(keys) == len(routes)
