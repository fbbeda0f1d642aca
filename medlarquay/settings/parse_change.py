"""Checking of a document against an earlier version of it."""

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
    """Check a document of which only routes differ from an earlier version.

    Returns
    -------
    ParsedDocument or None
        None if more than routes differs or any rule is broken: the check of
        the whole document then decides and words the error.

    Notes
    -----
    A JSON object ends where its text ends, so a route whose text stands at
    the place of a value is that value, and needs no second check by itself.
    What holds between routes is checked for all of them.
    """
    layout = earlier.layout
    if layout is None or len(content) > limits.MAX_DOCUMENT_BYTES:
        return None
    walk = _Walk(earlier=earlier, layout=layout)
    try:
        whole = walk.run(content.decode())
    except (errors.DocumentError, ValueError, RecursionError):
        return None
    if not whole or not _are_distinct(walk.routes):
        return None
    return parsed_document.ParsedDocument(
        content=content,
        document=dataclasses.replace(
            earlier.document,
            routes=check_routes.sort_routes(walk.routes),
        ),
        layout=route_layout.RouteLayout(
            text=walk.text,
            spans=tuple(walk.spans),
        ),
        routes=tuple(walk.routes),
    )


class _Walk:
    """Steps through the routes of a text beside those of an earlier one."""

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
        self._known: dict[str, int] = {}
        # Route of the earlier version that is expected next.
        self._expected = 0

    def run(self, text: str) -> bool:
        """Take all routes; return whether nothing else differs."""
        self.text = text
        head = self._layout.head
        if not text.startswith(head):
            return False
        place: int | None = len(head)
        end = len(text)
        while place is not None:
            if not self._reuse_run(place):
                self._decode(place)
            if len(self.routes) > limits.MAX_ROUTES:
                return False
            end = self.spans[-1][1]
            place = route_layout.skip_comma(text, end)
        return text[end:] == self._layout.tail

    def _reuse_run(self, place: int) -> int:
        """Take the expected routes that follow; return how many they are."""
        taken = 0
        step = 1
        growing = True
        while step:
            last = min(self._expected + step, len(self._layout.spans)) - 1
            if last >= self._expected and self._stands(last, place):
                place = self._reuse(last, place)
                taken += step
            else:
                growing = False
            step = 2 * step if growing else step // 2
        return taken

    def _stands(self, last: int, place: int) -> bool:
        wanted = self._layout.text_of(self._expected, last)
        return self.text.startswith(wanted, place)

    def _reuse(self, last: int, place: int) -> int:
        first = self._expected
        shift = place - self._layout.spans[first][0]
        self.spans.extend(
            (start + shift, end + shift)
            for start, end in self._layout.spans[first : last + 1]
        )
        self.routes.extend(self._earlier.routes[first : last + 1])
        self._expected = last + 1
        following = route_layout.skip_comma(self.text, self.spans[-1][1])
        return len(self.text) if following is None else following

    def _decode(self, place: int) -> None:
        tree, end = _DECODER.raw_decode(self.text, place)
        number = self._number_of(self.text[place:end])
        if number is not None:
            self._expected = number
            self._reuse(number, place)
            return
        self._expected += 1
        self.spans.append((place, end))
        self.routes.append(
            check_routes.check_route(
                document_value.DocumentValue(
                    team=self._earlier.document.team,
                    path='route',
                    content=tree,
                ),
                known=self._services(),
            ),
        )

    def _number_of(self, text: str) -> int | None:
        if not self._known:
            self._known = {
                self._layout.text[start:end]: number
                for number, (start, end) in enumerate(self._layout.spans)
            }
        return self._known.get(text)

    def _services(self) -> frozenset[ids.ServiceName]:
        services = self._earlier.document.services
        return frozenset(service.name for service in services)


def _are_distinct(routes: list[route_settings.RouteSettings]) -> bool:
    keys = {(route.host, route.path_prefix) for route in routes}
    return len(keys) == len(routes)
