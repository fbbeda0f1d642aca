"""Relay that counts the bytes that processes exchange."""

import argparse
import json

from medlarquay.testing import http_exchange, relay_connection, serving

__all__ = ('Relay',)

_LOOPBACK = '127.0.0.1'


class Relay:
    """Reports the bytes relayed for each target (``GET /-/bytes``).

    Parameters
    ----------
    factories : dict of RelayFactory
        Relaying factories by the port of their target.
    """

    def __init__(
        self,
        *,
        factories: dict[int, relay_connection.RelayFactory],
    ) -> None:
        self._factories = factories

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Answer with the relayed bytes by target."""
        carried_bytes = {
            target: factory.carried_bytes
            for target, factory in self._factories.items()
        }
        exchange.answer(json.dumps(carried_bytes).encode())


def main() -> None:
    """Run the relay as a program."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--target', type=int, action='append', required=True)
    arguments = parser.parse_args()
    factories = {}
    for target in arguments.target:
        factory = relay_connection.RelayFactory(_LOOPBACK, target)
        factories[target] = factory
        port = reactor.listenTCP(0, factory, interface=_LOOPBACK)
        serving.print_line(f'relay {target} {port.getHost().port}')
    serving.serve(
        reactor=reactor,
        port=arguments.port,
        handle=Relay(factories=factories).handle,
    )


if __name__ == '__main__':
    main()
