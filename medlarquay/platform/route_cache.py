"""Translated routes that the next configuration may repeat."""

import json
from collections.abc import Callable
from typing import Any

from medlarquay.platform import column_table

__all__ = ('RouteCache',)

_Row = list[Any]


class RouteCache:
    """Translated routes that the next configuration may repeat.

    Parameters
    ----------
    translate : callable
        Returns the route that an entry of the platform stands for.
    """

    def __init__(
        self,
        *,
        translate: Callable[[dict[str, Any]], dict[str, object]],
    ) -> None:
        self._translate = translate
        self._columns: list[str] = []
        self._kept: dict[str, tuple[_Row, str]] = {}

    def render_routes(self, table: column_table.ColumnTable) -> list[str]:
        """Return the routes as JSON; those that did not change are reused."""
        kept = self._kept if table.columns == self._columns else {}
        found = {}
        for name, row in table.rows.items():
            known = kept.get(name)
            if known is None or not _is_same(known[0], row):
                known = (row, self._text_of(table.entry(name)))
            found[name] = known
        self._columns = table.columns
        self._kept = found
        return [text for _, text in found.values()]

    def _text_of(self, entry: dict[str, Any]) -> str:
        return json.dumps(self._translate(entry), separators=(',', ':'))


def _is_same(kept: _Row, row: _Row) -> bool:
    # 1, 1.0 and true are equal here, but not in JSON.
    if kept != row:
        return False
    types = list(map(type, kept))
    if types != list(map(type, row)):
        return False
    return list not in types or json.dumps(kept) == json.dumps(row)
