"""Settings of one node."""

import dataclasses

from medlarquay import addresses, ids

__all__ = ('NodeSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one node, from flags and environment variables.

    Attributes
    ----------
    instance : InstanceId
        Instance whose backend server runs beside the node.
    region, data_centre : RegionName, DataCentreName
        Location of the instance.
    host : str
        IP address to listen on.
    caller_port, peer_port, admin_port : int
        TCP ports for callers, other nodes and operators.
    backend_host, backend_port : str, int
        Address of the local backend server.
    source_url : str
        Base URL of the configuration service, without a final slash.
    seed : tuple of NodeAddress
        Peer addresses of nodes to contact at start. Nodes of the same region
        are listed first, to limit the traffic between regions at start. A node
        whose own address is listed may read the source at once.
    key_retention_s : float
        Retention of the results of idempotency keys, in seconds; must be the
        same on all nodes.
    drain_timeout_s : float
        Longest time for a graceful stop, in seconds.
    leaving_s : float
        Time for which a backend server that leaves is still sent requests that
        were queued for it, in seconds.
    link_bytes_per_s : float
        Capacity of the network link of the machine, in bytes per second;
        infinite if unknown.
    log_level : str
        Lowest level of the log lines that are written.
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
    seed: tuple[addresses.NodeAddress, ...]
    key_retention_s: float
    drain_timeout_s: float
    leaving_s: float
    link_bytes_per_s: float
    log_level: str
