"""A service with the backend servers known for it."""

import dataclasses

from medlarquay import ids, replica, settings

__all__ = ('Service',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service with the backend servers known for it.

    Attributes
    ----------
    team : ids.TeamName
        Team.
    parameters : settings.ServiceSettings
        Operators' settings of the service.
    backends : tuple[replica.InstanceRecord, ...]
        Backend servers, live and leaving, in order of instance.
    """

    team: ids.TeamName
    parameters: settings.ServiceSettings
    backends: tuple[replica.InstanceRecord, ...]
