"""Test double of a backend server."""

import argparse
import json

from twisted.internet import reactor
from twisted.web import resource, server

__all__ = ('BackendServer',)


class BackendServer(resource.Resource):
    """Answers each request with its own path and records what ran."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, name: str) -> None:
        super().__init__()
        self._name = name
        self._record: list[str] = []

    def render(self, request: server.Request) -> bytes:
        """Run one request or show the record."""
        target = request.uri.decode()
        if target == '/-/record':
            return json.dumps(self._record).encode()
        self._record.append(target)
        request.setHeader('x-backend', self._name)
        return target.encode()


def main() -> None:
    """Serve until the process ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--name', required=True)
    found = parser.parse_args()
    site = server.Site(BackendServer(name=found.name))
    site.noisy = False
    reactor.listenTCP(found.port, site, interface='127.0.0.1')
    reactor.run()


if __name__ == '__main__':
    main()
