"""Stand-in for the platform's store (kv-key, kv-range, kv-watch)."""

import asyncio
import base64
from urllib import parse

import cbor
import http1

_PAGE_ITEMS = 50


class Store:
    """Linearizable key-value store with one revision counter."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write a value; return its revision."""
        self.revision += 1
        created = self.items.get(key, {}).get('created_at', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_at': created,
            'lease': 0,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._append(
            {'key': key, 'revision': self.revision, 'is_deleted': True}
        )

    async def listen(self, host):
        """Serve; return the port."""
        server = await asyncio.start_server(self._serve, host, 0)
        return server.sockets[0].getsockname()[1]

    def _append(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    break
                await http1.read_body(reader, head[1])
                path, _, query = head[0].split(' ')[1].partition('?')
                query = dict(parse.parse_qsl(query))
                status, answer = await self._answer(path, query)
                writer.write(
                    http1.format_message(
                        f'HTTP/1.1 {status} X',
                        [('Content-Type', 'application/cbor')],
                        cbor.dumps(answer),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        await asyncio.sleep(0.004)
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'at': self.revision}
            return 200, {**item, 'at': self.revision}
        if path == '/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['path_prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:_PAGE_ITEMS]],
                'has_more': len(keys) > _PAGE_ITEMS,
                'at': self.revision,
            }
        if path == '/kv-watch':
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(query['path_prefix'])
            ]
            left = end - loop.time()
            if events or left <= 0:
                return {'events': events, 'at': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
