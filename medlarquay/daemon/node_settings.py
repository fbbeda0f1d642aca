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
        Address of the configuration service, without a slash at its end.
    seed : tuple of NodeAddress
        Peer ports of nodes to ask at start. Those of its own region come
        first, so that a start sends little across regions. A node whose own
        address is among them may read the source at once.
    key_retention_s : float
        Time for which the result of an idempotency key is kept, in seconds;
        the same on all nodes.
    drain_timeout_s : float
        Longest time for a graceful stop, in seconds.
    link_bytes_per_s : float
        What the link of the machine carries, in bytes a second; infinite when
        unknown.
    log_level : str
        Least level of the log lines that are written.
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
    link_bytes_per_s: float
    log_level: str
