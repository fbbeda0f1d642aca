"""Entry point of ``medlarquayd``."""

import sys

from medlarquay import telemetry
from medlarquay.daemon import parse_arguments

__all__ = ('run',)


def run() -> None:
    """Run a node until it is stopped by a signal."""
    # Links use plain TCP. Importing pyOpenSSL would take 13 MB of the 64 MB
    # that a node may use, and twisted works without it.
    sys.modules.setdefault('OpenSSL', None)  # type: ignore[arg-type]
    settings = parse_arguments.parse_arguments()
    telemetry.set_up_logs(stream=sys.stderr, level=settings.log_level)
    # The reactor is loaded after the settings were parsed, so that a bad flag
    # is reported without the cost of starting it.
    from medlarquay.daemon import node, node_reactor, signals  # noqa: PLC0415

    reactor = node_reactor.load_reactor()
    node.start_node(reactor=reactor, settings=settings)
    signals.run_reactor(reactor)
    signals.end_process()


if __name__ == '__main__':
    run()
