"""Routes and services of one team in a snapshot."""

import dataclasses
from collections.abc import Mapping

from medlarquay.snapshots import route_group, service, service_key

__all__ = ('TeamBinding',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamBinding:
    """Routes and services of one team in a snapshot.

    Attributes
    ----------
    services : Mapping[ServiceKey, service.Service]
        Services of the team.
    routes : Mapping[bytes, RouteGroup]
        Routes by host, longest prefix first.
    """

    services: Mapping[service_key.ServiceKey, service.Service]
    routes: Mapping[bytes, route_group.RouteGroup]
