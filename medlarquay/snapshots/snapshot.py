"""A self-contained version of the whole configuration."""

import dataclasses
from collections.abc import Mapping

from medlarquay import ids, replica, settings
from medlarquay.snapshots import (
    instance_list,
    route_group,
    service,
    service_key,
)

__all__ = ('Snapshot',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A self-contained version of the whole configuration.

    Routes refer only to services of the same snapshot, and the backend servers
    of a service are those of its instance list.

    Attributes
    ----------
    tree_revision : ids.Revision
        Revision of the settings tree.
    list_revision : ids.Revision
        Revision of the instance list.
    routes : Mapping[bytes, RouteGroup]
        Routes by host in lower case, longest prefix first.
    services : Mapping[ServiceKey, service.Service]
        Services by team and name.
    documents : Mapping[ids.TeamName, settings.TeamDocument]
        Documents from which the routes and services were built.
    unknown_teams : frozenset of TeamName
        Teams of which a version was rejected and none is accepted, so that
        their routes are not known.
    instances : instance_list.InstanceList
        Instance list from which the backend servers were taken.
    """

    tree_revision: ids.Revision
    list_revision: ids.Revision
    routes: Mapping[bytes, route_group.RouteGroup]
    services: Mapping[service_key.ServiceKey, service.Service]
    documents: Mapping[ids.TeamName, settings.TeamDocument] = dataclasses.field(
        default_factory=dict
    )
    unknown_teams: frozenset[ids.TeamName] = frozenset()
    instances: instance_list.InstanceList = dataclasses.field(
        default_factory=instance_list.InstanceList
    )

    def is_configured(self, host: str) -> bool:
        """Return whether all routes that a host may have are known.

        Parameters
        ----------
        host : str
            Host in lower case without port.
        """
        return bool(self.documents) and not any(
            settings.may_use_host(team, host) for team in self.unknown_teams
        )

    def backends(
        self, target: service.Service
    ) -> tuple[replica.InstanceRecord, ...]:
        """Return the backend servers of a service, sorted by instance.

        They may be live or leaving; there are none if no instance is listed.
        """
        return self.instances.by_service.get(target.key, ())
