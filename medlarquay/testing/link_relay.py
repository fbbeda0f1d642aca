"""Relay that emulates the links of machines and their faults."""

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
    """Control pages to change the emulated links of machines.

    A machine is identified by its port. ``PUT /-/link/<port>`` sets fields of
    ``LinkConditions``; ``PUT /-/reset/<port>`` resets the connections to the
    machine.

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
        """Serve one request to a control page."""
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
    """Run the link relay as a program."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--target', type=int, action='append', required=True)
    parser.add_argument('--conditions', type=json.loads, default={})
    arguments = parser.parse_args()
    targets = {}
    for port in arguments.target:
        target = link_relay_target.LinkRelayTarget(
            reactor=reactor,
            port=port,
            conditions=link_conditions.LinkConditions(**arguments.conditions),
        )
        targets[port] = target
        serving.print_line(f'relay {port} {target.listen()}')
    serving.serve(
        reactor=reactor,
        port=arguments.port,
        handle=LinkRelay(targets=targets).handle,
    )


if __name__ == '__main__':
    main()
