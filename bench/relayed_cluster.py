"""A cluster whose control and call links pass a counting relay."""

from collections.abc import Iterable
from typing import Any

from bench import (
    cluster,
    http_json,
    instance,
    managed_process,
    relay_ports,
)

__all__ = ('RelayedCluster',)


class RelayedCluster(cluster.Cluster):
    """A cluster whose links to the source and to nodes pass a relay.

    The relay counts bytes, since a process cannot count those of another
    one's sockets. The instance list names the relay's ports.
    """

    def __init__(self) -> None:
        super().__init__()
        self._relays: list[managed_process.ManagedProcess] = []
        self._source_port = 0

    def add(
        self,
        added: Iterable[instance.Instance],
        *,
        backend: dict[str, Any] | None = None,
        quiet: bool = False,
    ) -> None:
        """Start instances behind the relay and publish them."""
        found = list(added)
        for unstarted in found:
            unstarted.ports['peer-port'] = self.ports.take()
        self._source_port = int(self.source_url.rpartition(':')[2])
        targets = [entry.ports['peer-port'] for entry in found]
        ports = self._start_relay([self._source_port, *targets])
        for one in found:
            one.published_peer_port = ports[one.ports['peer-port']]
        self.node_source_url = f'http://127.0.0.1:{ports[self._source_port]}'
        super().add(found, backend=backend, quiet=quiet)

    def control_bytes(self) -> int:
        """Return the bytes that the nodes sent and received in all.

        A byte between two nodes counts at both.
        """
        total = 0
        for process in self._relays:
            url = f'http://127.0.0.1:{process.port()}/-/bytes'
            for target, carried in http_json.request_json(url).items():
                ends = 1 if int(target) == self._source_port else 2
                total += ends * carried
        return total

    def _start_relay(self, targets: list[int]) -> dict[int, int]:
        process = self.start(
            'medlarquay.testing.relay',
            f'relay-{len(self._relays)}',
            *[f'--target={target}' for target in targets],
        )
        self._relays.append(process)
        return relay_ports.relay_ports(process)
