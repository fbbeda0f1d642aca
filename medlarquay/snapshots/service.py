"""A service of a team."""

import dataclasses

from medlarquay import ids, settings
from medlarquay.snapshots import service_key

__all__ = ('Service',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service of a team.

    Its backend servers are looked up in the snapshot, so that a change of the
    instance list replaces neither the service nor the routes to it.

    Attributes
    ----------
    team : ids.TeamName
        Team that owns the service.
    parameters : settings.ServiceSettings
        Settings of the service from the team document.
    """

    team: ids.TeamName
    parameters: settings.ServiceSettings

    @property
    def key(self) -> service_key.ServiceKey:
        """Team and name, which identify the service in a snapshot."""
        return self.team, self.parameters.name
