"""Identity and address of a node as other nodes see it."""

import dataclasses

from medlarquay import ids

__all__ = ('Peer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Identity and address of a node as other nodes see it.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance id; empty for a seed that is known by its address only.
    region : ids.RegionName
        Region; empty for a seed.
    data_centre : ids.DataCentreName
        Data centre; empty for a seed.
    host : str
        IP address of the node.
    port : int
        TCP port for other nodes.
    address : str
        Host and port; identifies the peer in suspicions and errors.
    """

    instance: ids.InstanceId
    region: ids.RegionName
    data_centre: ids.DataCentreName
    host: str
    port: int
    address: str = dataclasses.field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Compute the address once, since it is compared often."""
        object.__setattr__(self, 'address', f'{self.host}:{self.port}')
