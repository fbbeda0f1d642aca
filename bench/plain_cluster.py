"""Backend servers behind the plain proxy."""

import collections
from collections.abc import Iterable
from typing import Any

from bench import cluster, instance

__all__ = ('PlainCluster',)


class PlainCluster(cluster.Cluster):
    """The same backend servers as a cluster, behind one plain proxy."""

    def add(
        self,
        added: Iterable[instance.Instance],
        *,
        backend: dict[str, Any] | None = None,
        quiet: bool = False,
    ) -> None:
        """Start backend servers and the proxy; there are no nodes."""
        port = self.ports.take()
        services: dict[str, list[str]] = collections.defaultdict(list)
        found = list(added)
        for one in found:
            one.ports = {'caller-port': port}
            self.instances[one.name] = one
            self.start_backend(one, backend or {}, quiet=quiet)
        for started in found:
            cluster.wait_backend(started)
            host = f'{started.service}.{started.team}'
            services[host].append(started.backend_address)
        arguments = [
            f'--service={host}={",".join(addresses)}'
            for host, addresses in services.items()
        ]
        self.start('bench.plain_proxy', 'proxy', f'--port={port}', *arguments)
