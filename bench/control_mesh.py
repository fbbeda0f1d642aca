"""Nodes of four regions without backend servers, as processes."""

import json
import re
import signal
import time
from datetime import datetime, timezone
from typing import Any

from bench import cluster, http_json, instance
from medlarquay import ids, topology

__all__ = ('ControlMesh',)

_CENTRES = 4
# 64 nodes of about 56 MB each take about 3.6 GB.
_NODES = 4
_TEAMS = 40
_SERVICES = 12
_IN_FORCE = re.compile(
    r'(\d\d:\d\d:\d\d\.\d+).*configuration: tree_revision=(\d+)',
)
_POLL_S = 0.05


class ControlMesh:
    """Nodes of four regions without backend servers, as processes.

    Parameters
    ----------
    running : Cluster
        Owns the processes.
    """

    regions = ('north', 'east', 'south', 'west')

    def __init__(self, running: cluster.Cluster) -> None:
        self.running = running
        self.nodes: dict[str, instance.Instance] = {}
        self._changes = 0
        self._generation = 0

    def prepare(self) -> None:
        """Publish the documents and the instance list."""
        for region in self.regions:
            for number in range(_CENTRES * _NODES):
                one = _new_instance(region, number)
                for flag in cluster.PORT_FLAGS:
                    one.ports[flag] = self.running.ports.take()
                one.backend_port = self.running.ports.take()
                self.nodes[one.name] = one
        for team in range(_TEAMS):
            self.publish(team)
        entries = {
            name: json.dumps(one.list_entry())
            for name, one in self.nodes.items()
        }
        url = f'{self.running.source_url}/publish/instances'
        http_json.request_json(url, entries)

    def start_all(self) -> None:
        """Start all nodes at once."""
        self._generation += 1
        for one in self.nodes.values():
            one.node = self.running.start(
                'bench.control_node',
                f'{one.name}-{self._generation}',
                *self._arguments(one),
            )

    def publish(self, team: int = 0) -> int:
        """Publish a changed document of a team; return its revision."""
        self._changes += 1
        url = f'{self.running.source_url}/publish/teams/team{team}'
        return int(
            http_json.request_json(url, self._document(team))['revision']
        )

    def kill(self, names: list[str]) -> None:
        """End nodes without notice."""
        for name in names:
            self.send([name], signal.SIGKILL)
            process = self.nodes[name].node
            if process is not None:
                process.wait(5)

    def send(self, names: list[str], number: signal.Signals) -> None:
        """Send a signal to nodes."""
        for name in names:
            process = self.nodes[name].node
            if process is not None:
                process.send_signal(number)

    def in_force_at(self, name: str, revision: int) -> float | None:
        """Return when a node had a revision or a newer one in force."""
        process = self.nodes[name].node
        if process is None:
            return None
        for line in process.errors.read_text().splitlines():
            found = _IN_FORCE.search(line)
            if found and int(found.group(2)) >= revision:
                return _unix_time(found.group(1))
        return None

    def wait(self, revision: int, names: list[str], limit_s: float) -> None:
        """Wait until nodes have a revision in force."""
        until = time.monotonic() + limit_s
        left = list(names)
        while left:
            left = [
                name
                for name in left
                if self.in_force_at(name, revision) is None
            ]
            if time.monotonic() > until:
                raise TimeoutError(f'revision {revision} missing on {left}')
            time.sleep(_POLL_S)

    def control_bytes(self) -> dict[str, dict[str, dict[str, int]]]:
        """Return the last printed counts of all running nodes."""
        counts = {}
        for name, one in self.nodes.items():
            if one.node is not None and one.node.running:
                lines = one.node.lines()
                counts[name] = json.loads(lines[-1])
        return counts

    def calls_by_second(self) -> dict[str, int]:
        """Return the calls that the source counted in each second."""
        url = f'{self.running.source_url}/v1/calls'
        return dict(http_json.request_json(url)['by_second'])

    def reader_of(self, region: str) -> str:
        """Return the node of a region that reads the source."""
        return min(
            (name for name, one in self.nodes.items() if one.region == region),
            key=lambda name: topology.order_hash(ids.InstanceId(name)),
        )

    def _arguments(self, one: instance.Instance) -> list[str]:
        values = {
            'instance': one.name,
            'region': one.region,
            'data-centre': one.data_centre,
            'host': '127.0.0.1',
            'backend-host': '127.0.0.1',
            'backend-port': one.backend_port,
            'source-url': self.running.source_url,
            **one.ports,
        }
        arguments = [f'--{flag}={text}' for flag, text in values.items()]
        others = [name for name in self.regions if name != one.region]
        for region in (one.region, *others):
            seed = self.nodes[f'{region}-0']
            arguments.append(f'--seed=127.0.0.1:{seed.ports["peer-port"]}')
        return arguments

    def _document(self, team: int) -> dict[str, Any]:
        names = [f'service-{number}' for number in range(_SERVICES)]
        return {
            'services': {
                name: {'queue_limit': 1 + self._changes} for name in names
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
        service=f'service-{number % _SERVICES}',
        region=region,
        data_centre=f'{region}-dc{number // _NODES}',
        slots=6,
    )


def _unix_time(text: str) -> float:
    today = datetime.now(timezone.utc).date()
    moment = datetime.strptime(text, '%H:%M:%S.%f').time()  # noqa: DTZ007
    return datetime.combine(today, moment, timezone.utc).timestamp()
