"""Settings of this node from the platform's settings file."""

import dataclasses
from collections.abc import Mapping

from medlarquay import addresses, ids

__all__ = ('PlatformSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Settings of this node from the platform's settings file.

    Attributes
    ----------
    host : str
        IP address of the machine.
    data_centre, region : DataCentreName, RegionName
        Location of the machine.
    regions : Mapping
        Region of each data centre.
    callers, readiness, backend, store : NodeAddress
        Addresses on which the node serves callers and readiness probes;
        address of the backend server beside the node; address of the
        platform's store.
    peer_port, admin_port : int
        Ports for other nodes and for operators.
    service : ServiceName
        Service of the backend server beside the node.
    drain_timeout_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    leaving_s : float
        Time for which a backend server that reported to leave may still be
        sent requests, in seconds.
    link_bytes_per_s : float
        Capacity of the machine's link, in bytes per second; infinite if the
        file states none.
    fleet_burst : int or None
        Number of retries that all nodes together may send to one service
        beyond a share of its requests; None if the file states none.
    """

    host: str
    data_centre: ids.DataCentreName
    region: ids.RegionName
    regions: Mapping[str, str]
    callers: addresses.NodeAddress
    readiness: addresses.NodeAddress
    backend: addresses.NodeAddress
    store: addresses.NodeAddress
    peer_port: int
    admin_port: int
    service: ids.ServiceName
    drain_timeout_s: float
    leaving_s: float
    link_bytes_per_s: float
    fleet_burst: int | None = None
