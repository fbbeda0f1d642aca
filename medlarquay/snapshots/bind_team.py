"""Binding of a team's routes to its services and backend servers."""

import dataclasses
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

__all__ = ('bind_team', 'binding_of')

_Backends = Mapping[service_key.ServiceKey, tuple[replica.InstanceRecord, ...]]
_Split = tuple[tuple[service.Service, int], ...]
_Services = dict[service_key.ServiceKey, service.Service]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Team:
    """Services to which the routes of one team are bound."""

    name: ids.TeamName
    services: _Services

    def service(self, name: ids.ServiceName) -> service.Service:
        """Return a service of the team."""
        return self.services[self.name, name]


def binding_of(
    previous: snapshot.Snapshot,
    team: ids.TeamName,
) -> team_binding.TeamBinding:
    """Return what a snapshot holds for one team."""
    document = previous.documents.get(team)
    if document is None:
        return team_binding.TeamBinding(services={}, routes={})
    keys = [(team, parameters.name) for parameters in document.services]
    names = {parameters.host for parameters in document.routes}
    hosts = [name.encode() for name in names]
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
    by_host: dict[str, list[settings.RouteSettings]] = {}
    for parameters in document.routes:
        by_host.setdefault(parameters.host, []).append(parameters)
    team = _Team(name=document.team, services=services)
    groups = {}
    for name, wanted in by_host.items():
        host = name.encode()
        groups[host] = _bind_host(wanted, team, earlier.routes.get(host))
    return groups


def _bind_host(
    wanted: list[settings.RouteSettings],
    team: _Team,
    earlier: route_group.RouteGroup | None,
) -> route_group.RouteGroup:
    known = {bound.parameters.path_prefix: bound for bound in earlier or ()}
    routes = [
        _bind_route(parameters, team, known.get(parameters.path_prefix))
        for parameters in wanted
    ]
    kept = sum(
        known.get(bound.parameters.path_prefix) is bound for bound in routes
    )
    if earlier is not None and kept == len(routes) == len(earlier):
        return earlier
    return route_group.RouteGroup(routes)


def _bind_route(
    parameters: settings.RouteSettings,
    team: _Team,
    earlier: route.Route | None,
) -> route.Route:
    target = team.service(parameters.service)
    split = tuple(
        (team.service(part.service), part.weight) for part in parameters.split
    )
    if earlier is not None and _is_bound(earlier, parameters, target, split):
        return earlier
    return route.Route(
        parameters=parameters,
        prefix=parameters.path_prefix.encode(),
        idempotent_methods=_encode_methods(parameters.idempotent_methods),
        service=target,
        split=split,
    )


def _is_bound(
    bound: route.Route,
    parameters: settings.RouteSettings,
    target: service.Service,
    split: _Split,
) -> bool:
    if bound.service is not target or len(bound.split) != len(split):
        return False
    if bound.parameters is not parameters and bound.parameters != parameters:
        return False
    pairs = zip(bound.split, split, strict=True)
    return all(held[0] is wanted[0] for held, wanted in pairs)


# Few different sets occur, so 8,000 routes share them.
@functools.lru_cache(maxsize=128)
def _encode_methods(methods: tuple[str, ...]) -> frozenset[bytes]:
    return frozenset(method.encode() for method in methods)
