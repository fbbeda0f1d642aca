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
    address : str
        Host and port, which identify the peer in suspicions and errors.
    """

    instance: ids.InstanceId
    region: ids.RegionName
    data_centre: ids.DataCentreName
    host: str
    port: int
    address: str = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Set the address, which is compared often."""
        object.__setattr__(self, 'address', f'{self.host}:{self.port}')
