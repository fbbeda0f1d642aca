"""Cache of translated routes."""

import json
from collections.abc import Callable
from typing import Any

from medlarquay.platform import column_table

__all__ = ('RouteCache',)

_Row = list[Any]


class RouteCache:
    """Caches translated routes from one configuration to the next.

    Parameters
    ----------
    translate : callable
        Returns the route of the product for an entry of the platform.
    """

    def __init__(
        self,
        *,
        translate: Callable[[dict[str, Any]], dict[str, object]],
    ) -> None:
        self._translate = translate
        self._columns: list[str] = []
        self._cached: dict[str, tuple[_Row, str]] = {}

    def render_routes(self, table: column_table.ColumnTable) -> list[str]:
        """Return the routes as JSON; translate only those that changed."""
        cached = self._cached if table.columns == self._columns else {}
        rendered = {}
        for name, row in table.rows.items():
            cached_route = cached.get(name)
            if cached_route is None or not _is_same_json(cached_route[0], row):
                cached_route = (row, self._render_route(table.entry(name)))
            rendered[name] = cached_route
        self._columns = table.columns
        self._cached = rendered
        return [text for _, text in rendered.values()]

    def _render_route(self, entry: dict[str, Any]) -> str:
        return json.dumps(self._translate(entry), separators=(',', ':'))


def _is_same_json(cached: _Row, row: _Row) -> bool:
    # 1, 1.0 and True are equal in Python, but not in JSON.
    if cached != row:
        return False
    types = list(map(type, cached))
    if types != list(map(type, row)):
        return False
    return list not in types or json.dumps(cached) == json.dumps(row)
