"""Test double of the configuration service and the instance list."""

import argparse
import json

from twisted.internet import interfaces, reactor
from twisted.web import resource, server

__all__ = ('Source',)

_MS_PER_SECOND = 1000


class Source(resource.Resource):
    """Read-and-watch service over two trees, with a test-only write side.

    ``GET /v1/watch/<tree>?after=R&wait_ms=T`` answers with the entries newer
    than ``R``, waiting up to ``T`` ms for one. ``PUT /publish/<tree>/<key>``
    is how operators and the platform publish in tests.
    """

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.trees: dict[str, dict[str, tuple[int, str | None]]] = {
            'teams': {},
            'instances': {},
        }
        self.revisions = {'teams': 0, 'instances': 0}
        self.calls = 0
        self._waiting: list[tuple[server.Request, str, int]] = []

    def render_GET(self, request: server.Request) -> bytes | int:  # noqa: N802
        """Answer a read or hold a watch."""
        tree = request.path.decode().rpartition('/')[2]
        if tree == 'calls':
            return json.dumps({'calls': self.calls}).encode()
        self.calls += 1
        after = int(request.args.get(b'after', [b'0'])[0])
        wait_ms = int(request.args.get(b'wait_ms', [b'0'])[0])
        if self.revisions[tree] > after or not wait_ms:
            return self._answer(tree, after)
        entry = (request, tree, after)
        self._waiting.append(entry)
        timer = reactor.callLater(
            wait_ms / _MS_PER_SECOND,
            self._finish,
            entry,
        )
        request.notifyFinish().addBoth(self._forget, entry, timer)
        return server.NOT_DONE_YET

    def render_PUT(self, request: server.Request) -> bytes:  # noqa: N802
        """Publish one value; an empty body deletes it."""
        tree, key = request.path.decode().split('/')[2:]
        self.revisions[tree] += 1
        content = request.content.read().decode()
        self.trees[tree][key] = (self.revisions[tree], content or None)
        for entry in tuple(self._waiting):
            if entry[1] == tree:
                self._finish(entry)
        return json.dumps({'revision': self.revisions[tree]}).encode()

    def _answer(self, tree: str, after: int) -> bytes:
        entries = [
            {'key': key, 'revision': revision, 'value': content}
            for key, (revision, content) in self.trees[tree].items()
            if revision > after
        ]
        return json.dumps({
            'revision': self.revisions[tree],
            'entries': entries,
        }).encode()

    def _finish(self, entry: tuple[server.Request, str, int]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            request, tree, after = entry
            request.write(self._answer(tree, after))
            request.finish()

    def _forget(
        self,
        result: object,
        entry: tuple[server.Request, str, int],
        timer: interfaces.IDelayedCall,
    ) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
        if timer.active():
            timer.cancel()


def main() -> None:
    """Serve until the process ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    found = parser.parse_args()
    site = server.Site(Source())
    site.noisy = False
    reactor.listenTCP(found.port, site, interface='127.0.0.1')
    reactor.run()


if __name__ == '__main__':
    main()
