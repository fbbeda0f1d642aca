"""Relay that stands for the links of machines and harms them on demand."""

import argparse
import dataclasses
import json

from medlarquay.testing import (
    http_exchange,
    link_conditions,
    link_relay_target,
    serving,
)

__all__ = ('LinkRelay',)


class LinkRelay:
    """Changes the links of machines, named by their ports.

    ``PUT /-/link/<port>`` sets fields of ``LinkConditions``, ``PUT
    /-/reset/<port>`` resets the connections to a machine.

    Parameters
    ----------
    targets : dict of LinkRelayTarget
        Machines by port.
    """

    def __init__(
        self,
        *,
        targets: dict[int, link_relay_target.LinkRelayTarget],
    ) -> None:
        self._targets = targets

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Serve one request."""
        match exchange.target.strip('/').split('/'):
            case ['-', 'link', port]:
                link = self._targets[int(port)].link
                fields = json.loads(exchange.body)
                link.change(dataclasses.replace(link.conditions, **fields))
                exchange.answer()
            case ['-', 'reset', port]:
                self._targets[int(port)].reset()
                exchange.answer()
            case _:
                exchange.answer(status=404)


def main() -> None:
    """Serve until the process ends."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--target', type=int, action='append', required=True)
    parser.add_argument('--conditions', type=json.loads, default={})
    found = parser.parse_args()
    targets = {}
    for port in found.target:
        target = link_relay_target.LinkRelayTarget(
            reactor=reactor,
            port=port,
            conditions=link_conditions.LinkConditions(**found.conditions),
        )
        targets[port] = target
        serving.print_line(f'relay {port} {target.listen()}')
    serving.serve(
        reactor=reactor,
        port=found.port,
        handle=LinkRelay(targets=targets).handle,
    )


if __name__ == '__main__':
    main()
