"""The subtree of one team, whole and checked."""

import dataclasses

from medlarquay import ids
from medlarquay.settings import route_settings, service_settings

__all__ = ('TeamDocument',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamDocument:
    """The subtree of one team, whole and checked.

    Attributes
    ----------
    team : ids.TeamName
        Team.
    services : tuple[service_settings.ServiceSettings, ...]
        Services in order of name.
    routes : tuple[route_settings.RouteSettings, ...]
        Routes, longest prefix first within a host.
    """

    team: ids.TeamName
    services: tuple[service_settings.ServiceSettings, ...]
    routes: tuple[route_settings.RouteSettings, ...]
