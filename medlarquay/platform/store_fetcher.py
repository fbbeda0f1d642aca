"""Source of configuration and instances on top of the platform's store."""

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
# The store answers within milliseconds; after this the answer was lost.
_ANSWER_TIMEOUT_S = 1.0
_MS_PER_SECOND = 1000
_REVISION = 'revision'
_NOT_FOUND = 404
_HISTORY_GONE = 410
# A page holds 1 MB of values; more pages than this would not fit into the
# memory of a node.
_MAX_PAGES = 64
# Stands for a configuration that cannot be translated. The product rejects it,
# since it is not a document.
_UNREADABLE = 'unreadable'

_Item = dict[str, Any]
_Answer = dict[str, Any]


class StoreFetcher:
    """Serves reads of the product's source from the platform's store.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    own_settings : PlatformSettings
        Settings of this node.
    """

    def __init__(
        self,
        *,
        client: store_client.StoreClient,
        own_settings: platform_settings.PlatformSettings,
    ) -> None:
        self._client = client
        self._own_settings = own_settings
        # A watch returns every version since the last read. A reader that
        # is behind lists instead, which returns only the newest version.
        self._behind = False
        self._route_cache = operators_document.new_route_cache()

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Read one tree of the source.

        Parameters
        ----------
        tree : SourceTree
            Tree to read.
        after : Revision
            Last revision that was read; 0 lists the whole tree.
        wait_ms : int
            Longest wait for a change, in milliseconds.

        Returns
        -------
        bytes
            Answer in the format of the product's source (JSON).

        Raises
        ------
        SourceError
            If the store refuses, does not answer in time or sends a
            malformed answer.
        """
        if tree is replica.SourceTree.TEAMS:
            answer = await self._fetch_documents(after, wait_ms)
        else:
            answer = await self._fetch_changes(tree, after, wait_ms)
        return json.dumps(answer).encode()

    async def discover(self) -> bytes:
        """Read the first page of the instance list, possibly an old one.

        Returns
        -------
        bytes
            Answer in the format of the product's source (JSON).

        Raises
        ------
        SourceError
            As in ``fetch``.
        """
        tree = replica.SourceTree.INSTANCES
        page = await self._client.get(
            '/kv-range',
            # A stale read costs a tenth and is not counted in the rate limit.
            {'path_prefix': _PREFIXES[tree], 'after': '', 'is_stale': 1},
            timeout_s=_ANSWER_TIMEOUT_S,
        )
        answer = {
            _REVISION: page['at'],
            'entries': list(self._translate_items(tree, page['items'])),
        }
        return json.dumps(answer).encode()

    async def is_listed(self, instance: ids.InstanceId) -> bool:
        """Return whether the store holds the entry of a backend server.

        Raises
        ------
        SourceError
            As in ``fetch``.
        """
        prefix = _PREFIXES[replica.SourceTree.INSTANCES]
        try:
            await self._client.get(
                '/kv-key',
                {'key': f'{prefix}{instance}'},
                timeout_s=_ANSWER_TIMEOUT_S,
            )
        except errors.SourceError as failure:
            if failure.status == _NOT_FOUND:
                return False
            raise
        return True

    async def _fetch_documents(
        self, after: ids.Revision, wait_ms: int
    ) -> _Answer:
        tree = replica.SourceTree.TEAMS
        listed = self._behind
        self._behind = False
        try:
            answer = (
                await self._list(tree)
                if listed
                else await self._fetch_changes(tree, after, wait_ms)
            )
        except errors.SourceError as failure:
            # A failure without a status may be due to the size of the answer; a
            # refusal says nothing about it.
            self._behind = listed or not failure.status
            raise
        if listed:
            revisions = [entry[_REVISION] for entry in answer['entries']]
            self._behind = any(revision > after for revision in revisions)
        return answer

    async def _fetch_changes(
        self,
        tree: replica.SourceTree,
        after: ids.Revision,
        wait_ms: int,
    ) -> _Answer:
        answer = await self._watch(tree, after, wait_ms) if after else None
        return await self._list(tree) if answer is None else answer

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
        timeout_s = wait_ms / _MS_PER_SECOND + _ANSWER_TIMEOUT_S
        try:
            answer = await self._client.get(
                '/kv-watch',
                query,
                timeout_s=timeout_s,
            )
        except errors.SourceError as failure:
            if failure.status == _HISTORY_GONE:
                _LOG.info('history after revision {} is gone', after)
                return None
            raise
        newest = _newest_by_key(answer['events'])
        if tree is replica.SourceTree.TEAMS:
            self._behind = len(newest) < len(answer['events'])
        return {
            _REVISION: answer['at'],
            'entries': list(self._translate_items(tree, newest)),
        }

    async def _list(self, tree: replica.SourceTree) -> _Answer:
        entries: list[_Answer] = []
        after = ''
        revision = None
        pages = 0
        while pages < _MAX_PAGES:
            pages += 1
            page = await self._client.get(
                '/kv-range',
                {'path_prefix': _PREFIXES[tree], 'after': after},
                timeout_s=_ANSWER_TIMEOUT_S,
            )
            # Pages are not one snapshot: changes after the first page are read
            # later, from the history after its revision.
            revision = page['at'] if revision is None else revision
            entries.extend(self._translate_items(tree, page['items']))
            if not page['has_more']:
                return {
                    _REVISION: revision,
                    'entries': entries,
                    'whole': True,
                }
            after = _next_page_key(page['items'], after)
        raise errors.SourceError(
            f'list has more than {_MAX_PAGES} pages',
            step=_STEP,
            peer=tree.value,
        )

    def _translate_items(
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
                _REVISION: item[_REVISION],
                'value': self._translate_value(tree, name, item),
            }

    def _translate_value(
        self,
        tree: replica.SourceTree,
        name: str,
        item: _Item,
    ) -> str | None:
        if item.get('is_deleted'):
            return None
        try:
            return self._translate_content(tree, name, item).decode()
        except errors.SourceError as failure:
            _LOG.warning('revision {}: {}', item[_REVISION], failure)
        # An unreadable configuration is rejected and changes nothing; an
        # unreadable entry counts as deleted and names no backend server.
        return _UNREADABLE if tree is replica.SourceTree.TEAMS else None

    def _translate_content(
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
        return backend_entry.translate_entry(
            name, content, own_settings=self._own_settings
        )


def _newest_by_key(changes: Iterable[_Item]) -> list[_Item]:
    """Return the newest event of each key.

    A burst of changes may replace one key many times.
    """
    return list({item['key']: item for item in changes}.values())


def _next_page_key(items: list[_Item], after: str) -> str:
    """Return the key after which the next page begins."""
    last = str(items[-1]['key']) if items else ''
    if last > after:
        return last
    raise errors.SourceError(
        f'page after {after!r} has no later key',
        step=_STEP,
        peer=after,
    )
