"""Entry of the instance list."""

import dataclasses

from medlarquay import ids, states

__all__ = ('InstanceRecord', 'tombstone')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """Entry of the instance list.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance id.
    revision : ids.Revision
        Revision of this entry.
    team : ids.TeamName
        Team that owns the service.
    service : ids.ServiceName
        Service that its backend server runs.
    region : ids.RegionName
        Region.
    data_centre : ids.DataCentreName
        Data centre.
    host : str
        IP address of the node.
    caller_port : int
        TCP port for callers.
    peer_port : int
        TCP port for other nodes.
    slots : int
        Number of requests that the backend server runs concurrently.
    state : states.InstanceState
        Live or leaving.
    node : ids.InstanceId
        Name that the node beside the backend server sends in its greeting;
        empty where nodes are named after their instances.
    deleted : bool
        Whether the entry is a tombstone.
    """

    instance: ids.InstanceId
    revision: ids.Revision
    team: ids.TeamName
    service: ids.ServiceName
    region: ids.RegionName
    data_centre: ids.DataCentreName
    host: str
    caller_port: int
    peer_port: int
    slots: int
    state: states.InstanceState
    node: ids.InstanceId = ids.InstanceId('')
    deleted: bool = False

    @property
    def node_name(self) -> ids.InstanceId:
        """Name in the greeting of the node beside the backend server."""
        return self.node or self.instance


def tombstone(
    *,
    instance: ids.InstanceId,
    revision: ids.Revision,
) -> InstanceRecord:
    """Build the record of a deleted instance."""
    return InstanceRecord(
        instance=instance,
        revision=revision,
        team=ids.TeamName(''),
        service=ids.ServiceName(''),
        region=ids.RegionName(''),
        data_centre=ids.DataCentreName(''),
        host='',
        caller_port=0,
        peer_port=0,
        slots=0,
        state=states.InstanceState.LEAVING,
        deleted=True,
    )
