"""The routes of one host."""

from collections.abc import Iterable

from medlarquay.snapshots import route

__all__ = ('RouteGroup',)

# What may follow a prefix: nothing, a further segment or the query.
_SEGMENT_ENDS = (b'', b'/', b'?')


class RouteGroup(tuple[route.Route, ...]):
    """The routes of one host, longest prefix first.

    Notes
    -----
    A request is looked up once for each length that a prefix has, not once
    for each route: 100 routes of one host have about ten lengths.
    """

    def __new__(cls, routes: Iterable[route.Route]) -> 'RouteGroup':
        """Sort and index the routes."""
        group = super().__new__(
            cls,
            sorted(routes, key=lambda entry: len(entry.prefix), reverse=True),
        )
        group._by_length = {}
        for entry in group:
            known = group._by_length.setdefault(len(entry.prefix), {})
            known[entry.prefix] = entry
        return group

    def find(self, target: bytes) -> route.Route | None:
        """Return the route with the longest prefix of a path and query."""
        for length, known in self._by_length.items():
            found = known.get(target[:length])
            if found is not None and _ends_segment(found.prefix, target):
                return found
        return None

    _by_length: dict[int, dict[bytes, route.Route]]


def _ends_segment(prefix: bytes, target: bytes) -> bool:
    if prefix.endswith(b'/'):
        return True
    end = len(prefix)
    return target[end : end + 1] in _SEGMENT_ENDS
