"""Relay that counts the bytes between processes."""

import argparse
import json

from medlarquay.testing import http_exchange, relay_connection, serving

__all__ = ('Relay',)

_LOOPBACK = '127.0.0.1'


class Relay:
    """Shows the bytes carried for each target (``GET /-/bytes``).

    Parameters
    ----------
    factories : dict of RelayFactory
        Relays by the port of their target.
    """

    def __init__(
        self,
        *,
        factories: dict[int, relay_connection.RelayFactory],
    ) -> None:
        self._factories = factories

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Serve one request."""
        carried = {
            target: factory.carried
            for target, factory in self._factories.items()
        }
        exchange.answer(json.dumps(carried).encode())


def main() -> None:
    """Serve until the process ends."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--target', type=int, action='append', required=True)
    found = parser.parse_args()
    factories = {}
    for target in found.target:
        factory = relay_connection.RelayFactory(_LOOPBACK, target)
        factories[target] = factory
        port = reactor.listenTCP(0, factory, interface=_LOOPBACK)
        serving.print_line(f'relay {target} {port.getHost().port}')
    serving.serve(
        reactor=reactor,
        port=found.port,
        handle=Relay(factories=factories).handle,
    )


if __name__ == '__main__':
    main()
