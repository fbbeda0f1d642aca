"""Translated routes that the next configuration may repeat."""

import json
from collections.abc import Callable
from typing import Any

__all__ = ('RouteTranslations',)

_Entry = dict[str, Any]


class RouteTranslations:
    """Translated routes that the next configuration may repeat.

    Parameters
    ----------
    translate : callable
        Returns the route that an entry of the platform stands for.
    """

    def __init__(
        self,
        *,
        translate: Callable[[_Entry], dict[str, object]],
    ) -> None:
        self._translate = translate
        self._kept: dict[str, tuple[_Entry, str]] = {}

    def texts_of(self, routes: dict[str, _Entry]) -> list[str]:
        """Return the routes as JSON; those that did not change are reused."""
        found = {
            name: (entry, self._text_of(name, entry))
            for name, entry in routes.items()
        }
        self._kept = found
        return [text for _, text in found.values()]

    def _text_of(self, name: str, entry: _Entry) -> str:
        kept = self._kept.get(name)
        if kept is not None and _is_same(kept[0], entry):
            return kept[1]
        return json.dumps(self._translate(entry), separators=(',', ':'))


def _is_same(kept: _Entry, entry: _Entry) -> bool:
    # 1, 1.0 and true are equal here, but not in JSON.
    if kept != entry or _types(kept) != _types(entry):
        return False
    return 'split' not in entry or json.dumps(kept) == json.dumps(entry)


def _types(entry: _Entry) -> list[type]:
    return list(map(type, entry.values()))
