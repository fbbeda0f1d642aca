"""Binding of a team's routes to its services and backend servers."""

import functools
from collections.abc import Mapping

from medlarquay import ids, replica, settings
from medlarquay.snapshots import (
    route,
    route_group,
    service,
    service_key,
    snapshot,
    team_binding,
)

__all__ = ('bind_team', 'bound_before')

_Backends = Mapping[service_key.ServiceKey, tuple[replica.InstanceRecord, ...]]
_Split = tuple[tuple[service.Service, int], ...]
_Services = dict[service_key.ServiceKey, service.Service]


def bound_before(
    previous: snapshot.Snapshot,
    team: ids.TeamName,
) -> team_binding.TeamBinding:
    """Return what a snapshot holds for one team."""
    document = previous.documents.get(team)
    if document is None:
        return team_binding.TeamBinding(services={}, routes={})
    keys = [(team, parameters.name) for parameters in document.services]
    hosts = {parameters.host.encode() for parameters in document.routes}
    return team_binding.TeamBinding(
        services={key: previous.services[key] for key in keys},
        routes={host: previous.routes[host] for host in hosts},
    )


def bind_team(
    document: settings.TeamDocument,
    *,
    backends: _Backends,
    earlier: team_binding.TeamBinding,
) -> team_binding.TeamBinding:
    """Bind a document's routes to its services, and those to their servers.

    Parameters
    ----------
    document : TeamDocument
        Accepted document.
    backends : Mapping
        Backend servers by service.
    earlier : TeamBinding
        Binding before the change; equal parts of it are reused.
    """
    services = {
        (document.team, parameters.name): _bind_service(
            document.team,
            parameters,
            backends.get((document.team, parameters.name), ()),
            earlier,
        )
        for parameters in document.services
    }
    return team_binding.TeamBinding(
        services=services,
        routes=_bind_routes(document, services, earlier),
    )


def _bind_service(
    team: ids.TeamName,
    parameters: settings.ServiceSettings,
    backends: tuple[replica.InstanceRecord, ...],
    earlier: team_binding.TeamBinding,
) -> service.Service:
    bound = earlier.services.get((team, parameters.name))
    if bound is not None and bound.backends is backends:
        if bound.parameters == parameters:
            return bound
    return service.Service(team=team, parameters=parameters, backends=backends)


def _bind_routes(
    document: settings.TeamDocument,
    services: _Services,
    earlier: team_binding.TeamBinding,
) -> dict[bytes, route_group.RouteGroup]:
    reusable = {
        found.parameters: found
        for group in earlier.routes.values()
        for found in group
    }
    routes: dict[bytes, list[route.Route]] = {}
    for parameters in document.routes:
        target = services[document.team, parameters.service]
        split = tuple(
            (services[document.team, part.service], part.weight)
            for part in parameters.split
        )
        bound = reusable.get(parameters)
        if bound is None or not _is_bound(bound, target, split):
            bound = _bind_route(parameters, target, split)
        routes.setdefault(parameters.host.encode(), []).append(bound)
    return {
        host: route_group.RouteGroup(found) for host, found in routes.items()
    }


def _is_bound(
    bound: route.Route,
    target: service.Service,
    split: _Split,
) -> bool:
    if bound.service is not target or len(bound.split) != len(split):
        return False
    pairs = zip(bound.split, split, strict=True)
    return all(held[0] is wanted[0] for held, wanted in pairs)


def _bind_route(
    parameters: settings.RouteSettings,
    target: service.Service,
    split: _Split,
) -> route.Route:
    return route.Route(
        parameters=parameters,
        prefix=parameters.path_prefix.encode(),
        idempotent_methods=_encode_methods(parameters.idempotent_methods),
        service=target,
        split=split,
    )


# Few different sets occur, so 8,000 routes share them.
@functools.lru_cache(maxsize=128)
def _encode_methods(methods: tuple[str, ...]) -> frozenset[bytes]:
    return frozenset(method.encode() for method in methods)
