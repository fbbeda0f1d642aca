"""Program that runs the stand-ins for a small platform.

It serves the store on 127.0.0.1 and one backend server on each further
address 127.0.0.N, and prints the port of the store. It takes commands, one a
line, on standard input: ``fault NAME``, ``forget``, ``delete KEY`` or
``route PREFIX SERVICE``.
"""

import argparse
import sys

import cbor2
from twisted.internet import reactor, stdio
from twisted.protocols import basic

from medlarquay.platform.testing import (
    platform_backend,
    platform_store,
    published_configuration,
    store_fault,
)

__all__ = ('run',)

_SERVICES = ('desk', 'portal')


class PlatformWorld(basic.LineReceiver):
    """Executes commands from standard input on the stand-ins.

    Parameters
    ----------
    store : PlatformStore
        Store that the commands change.
    """

    delimiter = b'\n'

    def __init__(self, *, store: platform_store.PlatformStore) -> None:
        self._store = store
        self._version = 1
        self._routes = {'/desk/': 'desk', '/portal/': 'portal'}

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Execute one command."""
        words = line.decode().split()
        if words[0] == 'fault':
            self._store.fault = store_fault.StoreFault(words[1])
        elif words[0] == 'forget':
            self._store.drop_history()
        elif words[0] == 'unroute':
            self._routes.pop(words[1])
            self.publish()
        elif words[0] == 'delete':
            self._store.delete(words[1])
        else:
            self._routes[words[1]] = words[2]
            self.publish()

    def publish(self) -> None:
        """Write the next version of the configuration to the store."""
        self._version += 1
        content = published_configuration.encode_configuration(
            {
                f'r{number}': _route(prefix, service)
                for number, (prefix, service) in enumerate(self._routes.items())
            },
            _SERVICES,
            version=self._version,
        )
        self._store.put('op/config', content)


def _route(prefix: str, service: str) -> dict[str, object]:
    return {
        'host': 'app.example',
        'path_prefix': prefix,
        'kind': 'once' if service == 'desk' else 'repeat',
        'timeout': '2000ms',
        'target_latency': '200ms',
        'priority': 1,
        'service': service,
        'attempts': 2,
    }


def _serve_backends(
    store: platform_store.PlatformStore,
    *,
    nodes: int,
    port: int,
) -> None:
    for number in range(nodes):
        host = f'127.0.0.{number + 2}'
        service = _SERVICES[number % len(_SERVICES)]
        backend = platform_backend.PlatformBackend(
            reactor=reactor,
            instance=f'i-{number}',
            service=service,
        )
        backend.listen(reactor, host=host, port=port)
        entry = {
            'address': f'{host}:{port}',
            'info': {'service': service, 'zone': 'z', 'capacity': 2},
            'status': {'state': 'ready'},
        }
        store.put(f'servers/{backend.instance}', cbor2.dumps(entry))


def run() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--nodes', type=int, required=True)
    parser.add_argument('--port', type=int, required=True)
    arguments = parser.parse_args()
    store = platform_store.PlatformStore(reactor=reactor)
    world = PlatformWorld(store=store)
    world.publish()
    _serve_backends(store, nodes=arguments.nodes, port=arguments.port)
    port = store.listen(reactor, host='127.0.0.1')
    sys.stdout.write(f'listening {port.getHost().port}\n')
    sys.stdout.flush()
    stdio.StandardIO(world)
    reactor.run()


if __name__ == '__main__':
    run()
