"""A whole configuration, closed in itself."""

import dataclasses
from collections.abc import Mapping

from medlarquay import ids
from medlarquay.snapshots import route, service

__all__ = ('Snapshot',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A whole configuration, closed in itself.

    Attributes
    ----------
    tree_revision : ids.Revision
        Revision of the settings tree.
    list_revision : ids.Revision
        Revision of the instance list.
    routes : Mapping[bytes, tuple[route.Route, ...]]
        Routes by host, longest prefix first.
    services : Mapping[tuple[ids.TeamName, ids.ServiceName], service.Service]
        Services by team and name.
    """

    tree_revision: ids.Revision
    list_revision: ids.Revision
    routes: Mapping[bytes, tuple[route.Route, ...]]
    services: Mapping[tuple[ids.TeamName, ids.ServiceName], service.Service]
