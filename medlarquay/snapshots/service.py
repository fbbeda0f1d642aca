"""A service with its backend servers."""

import dataclasses

from medlarquay import ids, replica, settings

__all__ = ('Service',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service with its backend servers from the instance list.

    Attributes
    ----------
    team : ids.TeamName
        Team that owns the service.
    parameters : settings.ServiceSettings
        Settings of the service from the team document.
    backends : tuple[replica.InstanceRecord, ...]
        Backend servers, live and leaving, sorted by instance.
    """

    team: ids.TeamName
    parameters: settings.ServiceSettings
    backends: tuple[replica.InstanceRecord, ...]
