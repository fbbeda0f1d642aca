"""Building of a snapshot from documents and instances."""

from collections.abc import Iterable

from medlarquay import ids, replica, settings
from medlarquay.snapshots import route, service, snapshot

__all__ = ('build_snapshot',)


def build_snapshot(
    *,
    documents: Iterable[settings.TeamDocument],
    instances: Iterable[replica.InstanceRecord],
    tree_revision: ids.Revision,
    list_revision: ids.Revision,
) -> snapshot.Snapshot:
    """Build the whole configuration from accepted documents and instances.

    Parameters
    ----------
    documents : iterable of TeamDocument
        Accepted documents, at most one for each team.
    instances : iterable of InstanceRecord
        Instance list without tombstones.
    tree_revision, list_revision : Revision
        Revisions that the inputs stand for.

    Returns
    -------
    Snapshot
        Routes refer to services, and services to backend servers, of the
        same snapshot, so no route can point at something unknown.
    """
    backends = _group_backends(instances)
    services: dict[tuple[ids.TeamName, ids.ServiceName], service.Service] = {}
    routes: dict[bytes, list[route.Route]] = {}
    for document in documents:
        for parameters in document.services:
            key = (document.team, parameters.name)
            services[key] = service.Service(
                team=document.team,
                parameters=parameters,
                backends=tuple(backends.get(key, ())),
            )
        for route_parameters in document.routes:
            bound = _bind(
                route_parameters,
                services[document.team, route_parameters.service],
            )
            host = route_parameters.host.encode()
            routes.setdefault(host, []).append(bound)
    return snapshot.Snapshot(
        tree_revision=tree_revision,
        list_revision=list_revision,
        routes={host: _longest_first(found) for host, found in routes.items()},
        services=services,
    )


def _group_backends(
    instances: Iterable[replica.InstanceRecord],
) -> dict[tuple[ids.TeamName, ids.ServiceName], list[replica.InstanceRecord]]:
    grouped: dict[
        tuple[ids.TeamName, ids.ServiceName], list[replica.InstanceRecord]
    ] = {}
    for record in sorted(instances, key=lambda entry: entry.instance):
        grouped.setdefault((record.team, record.service), []).append(record)
    return grouped


def _bind(
    parameters: settings.RouteSettings,
    target: service.Service,
) -> route.Route:
    return route.Route(
        parameters=parameters,
        prefix=parameters.path_prefix.encode(),
        idempotent_methods=frozenset(
            method.encode() for method in parameters.idempotent_methods
        ),
        service=target,
    )


def _longest_first(routes: list[route.Route]) -> tuple[route.Route, ...]:
    return tuple(
        sorted(routes, key=lambda entry: len(entry.prefix), reverse=True),
    )
