"""HTTP forwarder on klein and treq, compared by ``bench.forwarders``."""

import argparse
from typing import Any

import klein
import treq
from twisted.web import client, server

from medlarquay.testing import serving

__all__ = ('KleinForwarder',)


class KleinForwarder:
    """Forwards each request to one backend server.

    Parameters
    ----------
    target : str
        ``host:port`` of the backend server.
    pool : HTTPConnectionPool
        Pool of persistent connections to it.
    """

    app = klein.Klein()

    def __init__(self, *, target: str, pool: client.HTTPConnectionPool) -> None:
        self._target = target
        self._pool = pool

    @app.route('/', branch=True)
    async def forward(self, request: server.Request) -> bytes:
        """Forward a request and return the body of its answer."""
        headers = dict(request.getAllHeaders())
        headers.pop(b'content-length', None)
        answer: Any = await treq.request(
            request.method.decode(),
            f'http://{self._target}{request.uri.decode()}',
            headers=headers,
            data=request.content.read(),
            pool=self._pool,
        )
        request.setResponseCode(answer.code)
        for name, values in answer.headers.getAllRawHeaders():
            if name.lower() != b'content-length':
                request.responseHeaders.setRawHeaders(name, values)
        return bytes(await treq.content(answer))


def main() -> None:
    """Serve until the process is stopped."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--target', required=True)
    arguments = parser.parse_args()
    forwarder = KleinForwarder(
        target=arguments.target,
        pool=client.HTTPConnectionPool(reactor),
    )
    site = server.Site(forwarder.app.resource())
    site.noisy = False
    listening = reactor.listenTCP(0, site, interface='127.0.0.1')
    serving.print_line(f'listening {listening.getHost().port}')
    reactor.run()


if __name__ == '__main__':
    main()
