"""The validated document of one team."""

import dataclasses

from medlarquay import ids
from medlarquay.settings import route_settings, service_settings

__all__ = ('TeamDocument',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamDocument:
    """The validated document of one team.

    Attributes
    ----------
    team : ids.TeamName
        Team that owns the document.
    services : tuple[service_settings.ServiceSettings, ...]
        Services sorted by name.
    routes : tuple[route_settings.RouteSettings, ...]
        Routes sorted by host, longest prefix first within a host.
    """

    team: ids.TeamName
    services: tuple[service_settings.ServiceSettings, ...]
    routes: tuple[route_settings.RouteSettings, ...]
