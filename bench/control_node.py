"""A node that prints its control bytes by region once per second.

Each line is a JSON object with the bytes ``sent`` and ``received`` so far, by
region of the peer.
"""

import json
import sys

from twisted.internet import reactor, task

from medlarquay import telemetry
from medlarquay.daemon import distribution, node, parse_arguments
from medlarquay.testing import serving

__all__ = ()

_PERIOD_S = 1


def _print_bytes(tasks: distribution.Distribution) -> None:
    sent: dict[str, int] = {}
    received: dict[str, int] = {}
    for link_bytes in (tasks.follower.link_bytes, tasks.relay.link_bytes):
        for region, length in link_bytes.sent.items():
            sent[region] = sent.get(region, 0) + length
        for region, length in link_bytes.received.items():
            received[region] = received.get(region, 0) + length
    serving.print_line(json.dumps({'sent': sent, 'received': received}))


def main() -> None:
    """Run a node until the process is stopped."""
    sys.modules.setdefault('OpenSSL', None)  # type: ignore[arg-type]
    settings = parse_arguments.parse_arguments()
    telemetry.set_up_logs(stream=sys.stderr, level=settings.log_level)
    tasks = node.start_node(reactor=reactor, settings=settings)
    task.LoopingCall(_print_bytes, tasks).start(_PERIOD_S)
    reactor.run()


if __name__ == '__main__':
    main()
