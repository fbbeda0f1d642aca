"""Cluster with the plain proxy instead of nodes."""

import collections
from collections.abc import Iterable
from typing import Any

from bench import cluster, instance

__all__ = ('PlainCluster',)


class PlainCluster(cluster.Cluster):
    """Cluster of backend servers behind one plain proxy, without nodes."""

    def add(
        self,
        added: Iterable[instance.Instance],
        *,
        backend: dict[str, Any] | None = None,
        quiet: bool = False,
    ) -> None:
        """Start the backend servers of instances and the proxy.

        Parameters
        ----------
        added : iterable of Instance
            Instances to start; all get the caller port of the proxy.
        backend : dict
            Fields of ``BackendSettings``; ``slots`` comes from the instance.
        quiet : bool
            Whether the backend servers do not print what they run.
        """
        port = self.ports.take()
        services: dict[str, list[str]] = collections.defaultdict(list)
        instances = list(added)
        for item in instances:
            item.ports = {'caller-port': port}
            self.instances[item.name] = item
            self.start_backend(item, backend or {}, quiet=quiet)
        for started in instances:
            cluster.wait_backend(started)
            host = f'{started.service}.{started.team}'
            services[host].append(started.backend_address)
        arguments = [
            f'--service={host}={",".join(addresses)}'
            for host, addresses in services.items()
        ]
        self.start('bench.plain_proxy', 'proxy', f'--port={port}', *arguments)
