"""What the snapshot says of the own instance."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('LocalInstance',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalInstance:
    """What the snapshot says of the own instance.

    Attributes
    ----------
    instance : InstanceId
        Run of the backend server, as the instance list names it.
    team, service : TeamName, ServiceName
        Service of the local backend server.
    peers : tuple[InstanceRecord, ...]
        Other backend servers of the service.
    """

    instance: ids.InstanceId
    team: ids.TeamName
    service: ids.ServiceName
    peers: tuple[replica.InstanceRecord, ...]
