"""HTTP server and output of a test double that runs as a program."""

import os
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import transport
from medlarquay.testing import http_connection, http_exchange

__all__ = ('print_line', 'serve')

_STDOUT = 1


def print_line(line: str) -> None:
    """Write one line to the standard output, unbuffered.

    Buffered lines would be lost when the process is killed.
    """
    os.write(_STDOUT, f'{line}\n'.encode())


def serve(
    *,
    reactor: interfaces.IReactorTCP,
    port: int,
    handle: Callable[[http_exchange.HttpExchange], None],
) -> None:
    """Listen on loopback, print ``listening <port>`` and run the reactor.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor to run.
    port : int
        TCP port; 0 for a free one.
    handle : callable
        Receives each request.
    """
    factory = transport.BuildingFactory(
        build=lambda: http_connection.HttpConnection(serve=handle),
    )
    listening = reactor.listenTCP(
        port,
        factory,
        interface='127.0.0.1',
        backlog=512,
    )
    print_line(f'listening {listening.getHost().port}')
    reactor.run()
