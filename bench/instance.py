"""A node and its backend server in a cluster."""

import dataclasses

from bench import managed_process

__all__ = ('Instance',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Instance:
    """A node with its backend server in a cluster.

    Attributes
    ----------
    name : str
        Instance id.
    team, service : str
        Team and service that its backend server belongs to.
    region, data_centre : str
        Location that the node reports.
    slots : int
        Slots of its backend server.
    ports : dict of int
        Ports of the node by the name of their flag.
    published_peer_port : int
        Peer port of a relay in front of the node; 0 when there is none.
    backend_port : int
        Port of the backend server.
    checkout : str
        Checkout to run the node from; empty for the current directory.
    flags : list of str
        Additional flags of the node.
    backend, node : ManagedProcess or None
        Processes, once started.
    """

    name: str
    team: str
    service: str
    region: str
    data_centre: str
    slots: int
    ports: dict[str, int] = dataclasses.field(default_factory=dict)
    published_peer_port: int = 0
    backend_port: int = 0
    checkout: str = ''
    flags: list[str] = dataclasses.field(default_factory=list)
    backend: managed_process.ManagedProcess | None = None
    node: managed_process.ManagedProcess | None = None

    @property
    def caller_address(self) -> str:
        """Address at which the node serves callers."""
        return f'127.0.0.1:{self.ports["caller-port"]}'

    @property
    def peer_port(self) -> int:
        """Port at which other nodes reach the node."""
        return self.published_peer_port or self.ports['peer-port']

    @property
    def backend_address(self) -> str:
        """Address of the backend server."""
        return f'127.0.0.1:{self.backend_port}'

    def list_entry(self, *, state: str = 'live') -> dict[str, str | int]:
        """Return its entry for the instance list."""
        return {
            'instance': self.name,
            'team': self.team,
            'service': self.service,
            'region': self.region,
            'data_centre': self.data_centre,
            'host': '127.0.0.1',
            'caller_port': self.ports['caller-port'],
            'peer_port': self.peer_port,
            'slots': self.slots,
            'state': state,
        }
