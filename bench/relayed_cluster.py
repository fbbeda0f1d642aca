"""Cluster whose links pass a relay that counts their bytes."""

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
    """Cluster whose links to the source and to nodes pass a relay.

    The relay counts the bytes, since a benchmark cannot count the bytes of
    sockets of other processes. The instance list has the ports of the relay
    instead of those of the nodes.
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
        """Start instances behind a relay and publish the instance list.

        The parameters are those of :meth:`Cluster.add`.
        """
        instances = list(added)
        for unstarted in instances:
            unstarted.ports['peer-port'] = self.ports.take()
        self._source_port = int(self.source_url.rpartition(':')[2])
        targets = [entry.ports['peer-port'] for entry in instances]
        ports = self._start_relay([self._source_port, *targets])
        for item in instances:
            item.published_peer_port = ports[item.ports['peer-port']]
        self.node_source_url = f'http://127.0.0.1:{ports[self._source_port]}'
        super().add(instances, backend=backend, quiet=quiet)

    def control_bytes(self) -> int:
        """Return the bytes that all nodes together sent and received.

        A byte between two nodes counts twice, once at each of them.
        """
        total = 0
        for process in self._relays:
            url = f'http://127.0.0.1:{process.port()}/-/bytes'
            for target, relayed_bytes in http_json.request_json(url).items():
                counting_ends = 1 if int(target) == self._source_port else 2
                total += counting_ends * relayed_bytes
        return total

    def _start_relay(self, targets: list[int]) -> dict[int, int]:
        process = self.start(
            'medlarquay.testing.relay',
            f'relay-{len(self._relays)}',
            *[f'--target={target}' for target in targets],
        )
        self._relays.append(process)
        return relay_ports.relay_ports(process)
