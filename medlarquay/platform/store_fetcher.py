"""Reads of the platform's store as reads of the product's source."""

import base64
import binascii
import json
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

import logbook

from medlarquay import errors, ids, replica, settings
from medlarquay.platform import (
    backend_entry,
    operators_document,
    platform_settings,
    store_client,
)

__all__ = ('StoreFetcher',)

_LOG = logbook.Logger('store')
_STEP = 'read store'
_CONFIGURATION_KEY = 'op/config'
_PREFIXES = MappingProxyType({
    replica.SourceTree.TEAMS: 'op/',
    replica.SourceTree.INSTANCES: 'servers/',
})
# The store answers in milliseconds; more means that the answer was lost.
_ANSWER_S = 1.0
_MS_PER_SECOND = 1000
_HISTORY_GONE = 410
# A page holds 1 MB of values; more than this would not fit into the memory
# of a node.
_MAX_PAGES = 64
# The product rejects it, since it is no document.
_UNREADABLE = 'unreadable'

_Item = dict[str, Any]
_Answer = dict[str, Any]


class StoreFetcher:
    """Reads the platform's store.

    Parameters
    ----------
    client : StoreClient
        Calls the store.
    own : PlatformSettings
        Settings of this node.
    """

    def __init__(
        self,
        *,
        client: store_client.StoreClient,
        own: platform_settings.PlatformSettings,
    ) -> None:
        self._client = client
        self._own = own
        # A watch returns every version since the last read. A reader that
        # is behind lists instead, which brings the newest one alone.
        self._behind = False
        self._route_cache = operators_document.new_route_cache()

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Return the answer of the source.

        Raises
        ------
        SourceError
            If the store refuses, is silent or sends something malformed.
        """
        if tree is replica.SourceTree.TEAMS:
            answer = await self._documents(after, wait_ms)
        else:
            answer = await self._changes(tree, after, wait_ms)
        return json.dumps(answer).encode()

    async def _documents(self, after: ids.Revision, wait_ms: int) -> _Answer:
        tree = replica.SourceTree.TEAMS
        listed = self._behind
        self._behind = False
        try:
            answer = (
                await self._list(tree)
                if listed
                else await self._changes(tree, after, wait_ms)
            )
        except errors.SourceError as failure:
            # A refusal says nothing about the size of the answer.
            self._behind = listed or not failure.status
            raise
        if listed:
            revisions = [entry['revision'] for entry in answer['entries']]
            self._behind = any(revision > after for revision in revisions)
        return answer

    async def _changes(
        self,
        tree: replica.SourceTree,
        after: ids.Revision,
        wait_ms: int,
    ) -> _Answer:
        found = await self._watch(tree, after, wait_ms) if after else None
        return await self._list(tree) if found is None else found

    async def _watch(
        self,
        tree: replica.SourceTree,
        after: ids.Revision,
        wait_ms: int,
    ) -> _Answer | None:
        query = {
            'path_prefix': _PREFIXES[tree],
            'after': after,
            'wait_ms': wait_ms,
        }
        timeout_s = wait_ms / _MS_PER_SECOND + _ANSWER_S
        try:
            found = await self._client.get(
                '/kv-watch',
                query,
                timeout_s=timeout_s,
            )
        except errors.SourceError as failure:
            if failure.status == _HISTORY_GONE:
                _LOG.info('history after revision {} is gone', after)
                return None
            raise
        newest = _newest(found['events'])
        if tree is replica.SourceTree.TEAMS:
            self._behind = len(newest) < len(found['events'])
        return {
            'revision': found['at'],
            'entries': list(self._entries(tree, newest)),
        }

    async def _list(self, tree: replica.SourceTree) -> _Answer:
        entries: list[_Answer] = []
        after = ''
        revision = None
        pages = 0
        while pages < _MAX_PAGES:
            pages += 1
            found = await self._client.get(
                '/kv-range',
                {'path_prefix': _PREFIXES[tree], 'after': after},
                timeout_s=_ANSWER_S,
            )
            # Pages are no snapshot; changes after the first page are in the
            # history that follows its revision.
            revision = found['at'] if revision is None else revision
            entries.extend(self._entries(tree, found['items']))
            if not found['has_more']:
                return {
                    'revision': revision,
                    'entries': entries,
                    'whole': True,
                }
            after = _key_after(found['items'], after)
        raise errors.SourceError(
            f'list has more than {_MAX_PAGES} pages',
            step=_STEP,
            peer=tree.value,
        )

    def _entries(
        self,
        tree: replica.SourceTree,
        items: Iterable[_Item],
    ) -> Iterable[_Answer]:
        for item in items:
            key = item['key']
            if tree is replica.SourceTree.INSTANCES:
                name = key.removeprefix(_PREFIXES[tree])
            elif key == _CONFIGURATION_KEY:
                name = settings.SHARED_TEAM
            else:
                continue
            yield {
                'key': name,
                'revision': item['revision'],
                'value': self._value(tree, name, item),
            }

    def _value(
        self,
        tree: replica.SourceTree,
        name: str,
        item: _Item,
    ) -> str | None:
        if item.get('is_deleted'):
            return None
        try:
            return self._translate(tree, name, item).decode()
        except errors.SourceError as failure:
            _LOG.warning('revision {}: {}', item['revision'], failure)
        # An unreadable configuration changes nothing; an unreadable entry
        # names no backend server.
        return _UNREADABLE if tree is replica.SourceTree.TEAMS else None

    def _translate(
        self,
        tree: replica.SourceTree,
        name: str,
        item: _Item,
    ) -> bytes:
        try:
            content = base64.b64decode(item['value'], validate=True)
        except (TypeError, binascii.Error) as cause:
            raise errors.SourceError(
                f'value is not base64: {cause}',
                step=_STEP,
                peer=name,
            ) from cause
        if tree is replica.SourceTree.TEAMS:
            return operators_document.translate_configuration(
                content,
                cache=self._route_cache,
            )
        return backend_entry.translate_entry(name, content, own=self._own)


def _newest(found: Iterable[_Item]) -> list[_Item]:
    """Return the newest event of each key: a storm replaces one key often."""
    return list({item['key']: item for item in found}.values())


def _key_after(items: list[_Item], after: str) -> str:
    """Return where the next page begins."""
    last = str(items[-1]['key']) if items else ''
    if last > after:
        return last
    raise errors.SourceError(
        f'the page after {after!r} does not go on',
        step=_STEP,
        peer=after,
    )
