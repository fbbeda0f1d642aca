"""Nodes of four regions, without backend servers, as processes."""

import json
import re
import signal
import time
from datetime import datetime, timezone
from typing import Any

from bench import cluster, http_json, instance
from medlarquay import ids, topology

__all__ = ('ControlMesh',)

_CENTRES_PER_REGION = 4
# The 64 nodes take about 56 MB each, together about 3.6 GB.
_NODES_PER_CENTRE = 4
_TEAMS = 40
_SERVICES_PER_TEAM = 12
_IN_FORCE_LINE = re.compile(
    r'(\d\d:\d\d:\d\d\.\d+).*configuration: tree_revision=(\d+)',
)
_POLL_S = 0.05


class ControlMesh:
    """Nodes of four regions, without backend servers, as processes.

    Parameters
    ----------
    running : Cluster
        Started cluster; starts and ends the processes.

    Attributes
    ----------
    cluster : Cluster
        The cluster.
    nodes : dict of Instance
        Instances by name.
    regions : tuple of str
        Names of the regions.
    """

    regions = ('north', 'east', 'south', 'west')

    def __init__(self, running: cluster.Cluster) -> None:
        self.cluster = running
        self.nodes: dict[str, instance.Instance] = {}
        self._publish_count = 0
        self._start_count = 0

    def prepare(self) -> None:
        """Publish the team documents and the instance list."""
        for region in self.regions:
            for number in range(_CENTRES_PER_REGION * _NODES_PER_CENTRE):
                item = _new_instance(region, number)
                for flag in cluster.PORT_FLAGS:
                    item.ports[flag] = self.cluster.ports.take()
                item.backend_port = self.cluster.ports.take()
                self.nodes[item.name] = item
        for team in range(_TEAMS):
            self.publish(team)
        entries = {
            name: json.dumps(item.list_entry())
            for name, item in self.nodes.items()
        }
        url = f'{self.cluster.source_url}/publish/instances'
        http_json.request_json(url, entries)

    def start_all(self) -> None:
        """Start all nodes at once."""
        self._start_count += 1
        for item in self.nodes.values():
            item.node = self.cluster.start(
                'bench.control_node',
                f'{item.name}-{self._start_count}',
                *self._arguments(item),
            )

    def publish(self, team: int = 0) -> int:
        """Publish a changed document of a team; return its tree revision."""
        self._publish_count += 1
        url = f'{self.cluster.source_url}/publish/teams/team{team}'
        return int(
            http_json.request_json(url, self._document(team))['revision']
        )

    def kill(self, names: list[str]) -> None:
        """Kill the processes of nodes (SIGKILL) and wait for their end."""
        for name in names:
            self.signal_nodes([name], signal.SIGKILL)
            process = self.nodes[name].node
            if process is not None:
                process.wait(5)

    def signal_nodes(
        self, names: list[str], signal_number: signal.Signals
    ) -> None:
        """Send a signal to the processes of nodes."""
        for name in names:
            process = self.nodes[name].node
            if process is not None:
                process.send_signal(signal_number)

    def in_force_at(self, name: str, revision: int) -> float | None:
        """Return when a revision, or a newer one, came into force at a node.

        Returns
        -------
        float or None
            Unix time in seconds; None while neither is in force.
        """
        process = self.nodes[name].node
        if process is None:
            return None
        for line in process.errors.read_text().splitlines():
            match = _IN_FORCE_LINE.search(line)
            if match and int(match.group(2)) >= revision:
                return _unix_time(match.group(1))
        return None

    def wait_in_force(
        self, revision: int, names: list[str], limit_s: float
    ) -> None:
        """Wait until a revision is in force at nodes.

        Raises
        ------
        TimeoutError
            If it is not in force at some of them after ``limit_s`` seconds.
        """
        give_up_at = time.monotonic() + limit_s
        waiting = list(names)
        while waiting:
            waiting = [
                name
                for name in waiting
                if self.in_force_at(name, revision) is None
            ]
            if time.monotonic() > give_up_at:
                raise TimeoutError(
                    f'revision {revision} not in force at {waiting}',
                )
            time.sleep(_POLL_S)

    def control_bytes(self) -> dict[str, dict[str, dict[str, int]]]:
        """Return the last printed byte counts of all running nodes.

        Returns
        -------
        dict
            Bytes by node, direction (``sent``, ``received``) and region.
        """
        counts = {}
        for name, item in self.nodes.items():
            if item.node is not None and item.node.running:
                lines = item.node.lines()
                counts[name] = json.loads(lines[-1])
        return counts

    def calls_by_second(self) -> dict[str, int]:
        """Return the number of calls at the source by Unix second."""
        url = f'{self.cluster.source_url}/v1/calls'
        return dict(http_json.request_json(url)['by_second'])

    def reader_of(self, region: str) -> str:
        """Return the name of the node that is the reader of a region."""
        return min(
            (
                name
                for name, item in self.nodes.items()
                if item.region == region
            ),
            key=lambda name: topology.order_hash(ids.InstanceId(name)),
        )

    def _arguments(self, item: instance.Instance) -> list[str]:
        values = {
            'instance': item.name,
            'region': item.region,
            'data-centre': item.data_centre,
            'host': '127.0.0.1',
            'backend-host': '127.0.0.1',
            'backend-port': item.backend_port,
            'source-url': self.cluster.source_url,
            **item.ports,
        }
        arguments = [f'--{flag}={text}' for flag, text in values.items()]
        other_regions = [name for name in self.regions if name != item.region]
        for region in (item.region, *other_regions):
            seed = self.nodes[f'{region}-0']
            arguments.append(f'--seed=127.0.0.1:{seed.ports["peer-port"]}')
        return arguments

    def _document(self, team: int) -> dict[str, Any]:
        names = [f'service-{number}' for number in range(_SERVICES_PER_TEAM)]
        return {
            'services': {
                name: {'queue_limit': 1 + self._publish_count} for name in names
            },
            'routes': [
                {
                    'host': f'{name}.team{team}',
                    'path_prefix': '/',
                    'service': name,
                    'rank': 'normal',
                    'timeout_ms': 2000,
                }
                for name in names
            ],
        }


def _new_instance(region: str, number: int) -> instance.Instance:
    return instance.Instance(
        name=f'{region}-{number}',
        team='team0',
        service=f'service-{number % _SERVICES_PER_TEAM}',
        region=region,
        data_centre=f'{region}-dc{number // _NODES_PER_CENTRE}',
        slots=6,
    )


def _unix_time(text: str) -> float:
    today = datetime.now(timezone.utc).date()
    time_of_day = datetime.strptime(text, '%H:%M:%S.%f').time()  # noqa: DTZ007
    return datetime.combine(today, time_of_day, timezone.utc).timestamp()
