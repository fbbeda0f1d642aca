"""A node as seen by other nodes."""

import dataclasses

from medlarquay import ids

__all__ = ('Peer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """A node as seen by other nodes.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance; empty for a seed that is known by its address only.
    region : ids.RegionName
        Region; empty for a seed.
    data_centre : ids.DataCentreName
        Data centre; empty for a seed.
    host : str
        IP address of the node.
    port : int
        TCP port for other nodes.
    """

    instance: ids.InstanceId
    region: ids.RegionName
    data_centre: ids.DataCentreName
    host: str
    port: int

    @property
    def address(self) -> str:
        """Address, which identifies the peer in suspicions and errors."""
        return f'{self.host}:{self.port}'
