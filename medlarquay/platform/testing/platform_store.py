"""Stand-in for the platform's store."""

import base64
from collections.abc import Callable
from typing import Any
from urllib import parse as urls

import cbor2
from twisted.internet import interfaces

from medlarquay import events, ids
from medlarquay.platform.testing import (
    request_server,
    store_fault,
    store_watch,
)

__all__ = ('PlatformStore',)

_MS_PER_SECOND = 1000
_PAGE_ITEMS = 50


class PlatformStore(request_server.RequestServer):
    """Serves the platform's key-value store over HTTP.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the timeouts of watches.

    Notes
    -----
    ``fault`` selects how it misbehaves; ``drop_history`` drops its history.
    """

    def __init__(self, *, reactor: interfaces.IReactorTime) -> None:
        super().__init__(reactor=reactor)
        self.fault = store_fault.StoreFault.NONE
        self.calls = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._oldest_revision = 0
        self._watches: list[store_watch.StoreWatch] = []

    def put(self, key: str, content: bytes) -> int:
        """Write a value; return its revision."""
        self._revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self._revision,
            'created_at': self._revision,
            'lease': 0,
        }
        self._items[key] = item
        self._append(item)
        return self._revision

    def delete(self, key: str) -> None:
        """Remove a value."""
        self._revision += 1
        self._items.pop(key, None)
        self._append({
            'key': key,
            'revision': self._revision,
            'is_deleted': True,
        })

    def drop_history(self) -> None:
        """Drop all events, so that a watch of an earlier revision fails."""
        self._history.clear()
        self._oldest_revision = self._revision

    def forget(self, caller: ids.CallerId) -> None:
        """Drop the watch of a connection that was closed."""
        self._watches = [
            watch for watch in self._watches if watch.caller != caller
        ]

    def serve(self, message: events.RequestReceived) -> None:
        """Answer a call, or misbehave according to ``fault``."""
        self.calls += 1
        if self.fault is store_fault.StoreFault.SILENT:
            return
        if self.fault is store_fault.StoreFault.BUSY:
            self._reply(message.caller, 503, {})
            return
        path, _, query = message.target.decode().partition('?')
        parameters = dict(urls.parse_qsl(query))
        handlers: dict[str, Callable[[ids.CallerId, dict[str, str]], None]] = {
            '/kv-range': self._range,
            '/kv-watch': self._watch,
        }
        handlers[path](message.caller, parameters)

    def _append(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        for watch in tuple(self._watches):
            if event['key'].startswith(watch.prefix):
                self._end_watch(watch)

    def _range(self, caller: ids.CallerId, query: dict[str, str]) -> None:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['path_prefix'])
            and key > query.get('after', '')
        )
        page = [self._items[key] for key in keys[:_PAGE_ITEMS]]
        self._reply(
            caller,
            200,
            {
                'items': page,
                'has_more': len(keys) > _PAGE_ITEMS,
                'at': self._revision,
            },
        )

    def _watch(self, caller: ids.CallerId, query: dict[str, str]) -> None:
        after = int(query['after'])
        if after < self._oldest_revision:
            self._reply(caller, 410, {})
            return
        watch = store_watch.StoreWatch(
            caller=caller,
            prefix=query['path_prefix'],
            after=after,
        )
        self._watches.append(watch)
        wait_ms = int(query['wait_ms'])
        if self._events(watch) or not wait_ms:
            self._end_watch(watch)
        else:
            self._reactor.callLater(
                wait_ms / _MS_PER_SECOND,
                self._end_watch,
                watch,
            )

    def _events(self, watch: store_watch.StoreWatch) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event['revision'] > watch.after
            and event['key'].startswith(watch.prefix)
        ]

    def _end_watch(self, watch: store_watch.StoreWatch) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        self._reply(
            watch.caller,
            200,
            {'events': self._events(watch), 'at': self._revision},
        )

    def _reply(
        self,
        caller: ids.CallerId,
        status: int,
        content: dict[str, Any],
    ) -> None:
        self.answer(
            events.AnswerReady(
                caller=caller,
                status=status,
                headers=((b'content-type', b'application/cbor'),),
                body=cbor2.dumps(content),
            ),
        )
