"""A cluster whose nodes reach each other over emulated links."""

import json
import shutil
from collections.abc import Iterable
from typing import Any

from bench import cluster, http_json, instance, managed_process, relay_ports
from bench.soak import topology

__all__ = ('SoakCluster',)

_BASE_DELAY_MS = 2


class SoakCluster(cluster.Cluster):
    """A cluster whose nodes reach each other over emulated links.

    Other nodes connect to a node at the relay; what it sends on these
    connections shares the rate of its machine. What it sends on connections
    that it opened itself, requests and probes, does not.

    Parameters
    ----------
    tell_rate : bool
        Whether the nodes know the rate of their link.
    checkout : str
        Directory of the version of the nodes; empty for the current one.
    """

    def __init__(self, *, tell_rate: bool = True, checkout: str = '') -> None:
        super().__init__()
        self._tell_rate = tell_rate
        self._checkout = checkout
        self._relay_url = ''
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
            unstarted.backend_port = self.ports.take()
            unstarted.checkout = self._checkout
            unstarted.flags.append(f'--drain-timeout-s={topology.DRAIN_S}')
            if self._tell_rate:
                unstarted.flags.append(f'--link-mbps={topology.LINK_MBPS}')
        self._source_port = int(self.source_url.rpartition(':')[2])
        relay = self._start_relay(found)
        ports = relay_ports.relay_ports(relay)
        self._relay_url = f'http://127.0.0.1:{relay.port()}/-'
        self.node_source_url = f'http://127.0.0.1:{ports[self._source_port]}'
        for one in found:
            one.published_peer_port = ports[one.ports['peer-port']]
        super().add(found, backend=backend, quiet=quiet)

    def change_link(self, name: str, **fields: float | bool) -> None:
        """Set conditions of the link of a node; of the source without name."""
        http_json.request_json(
            f'{self._relay_url}/link/{self._port_of(name)}', fields
        )

    def reset_links(self, name: str) -> None:
        """Reset the connections to a node; those to the source without name."""
        http_json.request_json(
            f'{self._relay_url}/reset/{self._port_of(name)}', {}
        )

    def harm_source(self, **fields: float | bool) -> None:
        """Set faults of the source."""
        http_json.request_json(f'{self.source_url}/-/faults', fields)

    def publish_state(self, name: str, state: str) -> None:
        """Publish the state of an instance."""
        entry = self.instances[name].list_entry(state=state)
        url = f'{self.source_url}/publish/instances/{name}'
        http_json.request_json(url, entry)

    def keep_output(self, directory: str) -> None:
        """Copy the output of all processes to a directory."""
        shutil.copytree(self.directory, directory, dirs_exist_ok=True)

    def _port_of(self, name: str) -> int:
        if name:
            return self.instances[name].ports['peer-port']
        return self._source_port

    def _start_relay(
        self,
        found: list[instance.Instance],
    ) -> managed_process.ManagedProcess:
        conditions = {
            'mbps': topology.LINK_MBPS,
            'delay_ms': _BASE_DELAY_MS,
        }
        return self.start(
            'medlarquay.testing.link_relay',
            'relay',
            f'--conditions={json.dumps(conditions)}',
            f'--target={self._source_port}',
            *[f'--target={one.ports["peer-port"]}' for one in found],
        )
