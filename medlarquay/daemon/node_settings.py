"""Settings of one node."""

import dataclasses

from medlarquay import ids

__all__ = ('NodeSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one node, from flags and environment variables.

    Attributes
    ----------
    instance : InstanceId
        Instance beside which the node runs.
    region, data_centre : RegionName, DataCentreName
        Where the instance runs.
    host : str
        IP address to listen on.
    caller_port, peer_port, admin_port : int
        TCP ports for callers, other nodes and operators.
    backend_host, backend_port : str, int
        Address of the local backend server.
    source_url : str
        Address of the configuration service.
    seeds : tuple of (str, int)
        Addresses of nodes that a starting node asks first. Those of its own
        region come first, so that a start sends little across regions. A node
        whose own address is among them may read the source at once.
    """

    instance: ids.InstanceId
    region: ids.RegionName
    data_centre: ids.DataCentreName
    host: str
    caller_port: int
    peer_port: int
    admin_port: int
    backend_host: str
    backend_port: int
    source_url: str
    seeds: tuple[tuple[str, int], ...] = ()
