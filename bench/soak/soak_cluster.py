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

    Other nodes connect to a node through the relay. What the node sends on
    these connections shares the emulated rate of its machine; what it sends
    on connections that it opened itself (requests and probes) does not.

    Parameters
    ----------
    link_rate_known : bool
        Whether the nodes are started with the rate of their link
        (``--link-mbps``).
    checkout : str
        Directory of the source tree that the nodes run from; empty for the
        current one.

    Attributes
    ----------
    steps_clocks : bool
        Whether signals step the time of day of the nodes.
    """

    def __init__(
        self, *, link_rate_known: bool = True, checkout: str = ''
    ) -> None:
        super().__init__()
        self._link_rate_known = link_rate_known
        self._checkout = checkout
        # Another source tree may not have the module.
        self.steps_clocks = not checkout
        if self.steps_clocks:
            self.node_module = 'bench.soak.stepped_daemon'
        self._relay_url = ''
        self._source_port = 0

    def add(
        self,
        added: Iterable[instance.Instance],
        *,
        backend: dict[str, Any] | None = None,
        quiet: bool = False,
    ) -> None:
        """Start instances behind the relay and publish the relayed ports."""
        instances = list(added)
        for unstarted in instances:
            unstarted.ports['peer-port'] = self.ports.take()
            unstarted.backend_port = self.ports.take()
            unstarted.checkout = self._checkout
            unstarted.flags.append(f'--drain-timeout-s={topology.DRAIN_S}')
            if self._link_rate_known:
                unstarted.flags.append(f'--link-mbps={topology.LINK_MBPS}')
        self._source_port = int(self.source_url.rpartition(':')[2])
        relay = self._start_relay(instances)
        ports = relay_ports.relay_ports(relay)
        self._relay_url = f'http://127.0.0.1:{relay.port()}/-'
        self.node_source_url = f'http://127.0.0.1:{ports[self._source_port]}'
        for started in instances:
            started.published_peer_port = ports[started.ports['peer-port']]
        super().add(instances, backend=backend, quiet=quiet)

    def change_link(self, name: str, **fields: float | bool) -> None:
        """Set conditions of a node's link; an empty name means the source.

        The keywords are fields of ``LinkConditions``.
        """
        http_json.request_json(
            f'{self._relay_url}/link/{self._port_of(name)}', fields
        )

    def reset_links(self, name: str) -> None:
        """Reset connections to a node; an empty name means the source."""
        http_json.request_json(
            f'{self._relay_url}/reset/{self._port_of(name)}', {}
        )

    def harm_source(self, **fields: float | bool) -> None:
        """Set faults of the source, given as fields of its fault settings."""
        http_json.request_json(f'{self.source_url}/-/faults', fields)

    def publish_state(self, name: str, state: str) -> None:
        """Publish an instance with another state in the instance list."""
        entry = self.instances[name].list_entry(state=state)
        url = f'{self.source_url}/publish/instances/{name}'
        http_json.request_json(url, entry)

    def copy_output(self, directory: str) -> None:
        """Copy the output of all processes to a directory."""
        shutil.copytree(self.directory, directory, dirs_exist_ok=True)

    def _port_of(self, name: str) -> int:
        if name:
            return self.instances[name].ports['peer-port']
        return self._source_port

    def _start_relay(
        self,
        instances: list[instance.Instance],
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
            *[f'--target={target.ports["peer-port"]}' for target in instances],
        )
