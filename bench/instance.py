"""A node with its backend server in a cluster."""

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
        Service that its backend server runs.
    region, data_centre : str
        Where it runs.
    slots : int
        Slots of its backend server.
    ports : dict of int
        Ports of the node by flag.
    published_peer_port : int
        Port of a relay in front of the node; 0 when there is none.
    backend_port : int
        Port of the backend server.
    checkout : str
        Directory of the version of the node; empty for the current one.
    flags : list of str
        Further flags of the node.
    backend, node : ManagedProcess or None
        Its processes, once started.
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
        """Address for callers of the node."""
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
        """Return the entry of the instance list."""
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
