"""Service and peers of the local instance, as listed in the snapshot."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('LocalInstance',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalInstance:
    """Service and peers of the local instance, as listed in the snapshot.

    Attributes
    ----------
    instance : InstanceId
        Id of the current run of the backend server in the instance list.
    team, service : TeamName, ServiceName
        Team and service of the local backend server.
    peers : tuple[InstanceRecord, ...]
        Records of the other backend servers of the service.
    """

    instance: ids.InstanceId
    team: ids.TeamName
    service: ids.ServiceName
    peers: tuple[replica.InstanceRecord, ...]
