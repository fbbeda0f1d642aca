"""In-memory model of the platform's store, without sockets.

It follows the platform's description of the store.
"""

import base64
from collections.abc import Callable, Mapping
from typing import Any

from medlarquay import errors

__all__ = ('ModelStore',)

_Item = dict[str, Any]

# Small, so that a list of two entries has two pages.
_PAGE_ITEMS = 1
_GONE = 410


class ModelStore:
    """Items under one revision counter, with a history that can be dropped.

    Attributes
    ----------
    between_pages : callable or None
        Called once before the second page of a list is read.
    """

    def __init__(self) -> None:
        self.between_pages: Callable[[], None] | None = None
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self._history: list[_Item] = []
        self._oldest_revision = 1

    def write(self, key: str, content: bytes) -> int:
        """Write a value; return its revision."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
        }
        self.items[key] = item
        self._history.append(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a value if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append({
                'key': key,
                'revision': self.revision,
                'is_deleted': True,
            })

    def drop_history(self) -> None:
        """Drop all events so far."""
        self._history = []
        self._oldest_revision = self.revision

    async def get(
        self,
        path: str,
        query: Mapping[str, Any],
        *,
        timeout_s: float,
    ) -> Any:
        """Answer a call."""
        if path == '/kv-watch':
            return self._watch(query['path_prefix'], query['after'])
        return self._range(query['path_prefix'], query['after'])

    def _watch(self, prefix: str, after: int) -> _Item:
        if after < self._oldest_revision:
            raise errors.SourceError('gone', step='watch', status=_GONE)
        events = [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
        return {'events': events, 'at': self.revision}

    def _range(self, prefix: str, after: str) -> _Item:
        if after and self.between_pages is not None:
            change = self.between_pages
            self.between_pages = None
            change()
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:_PAGE_ITEMS]],
            'has_more': len(keys) > _PAGE_ITEMS,
            'at': self.revision,
        }
