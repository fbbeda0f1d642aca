"""Binding of a team's routes to its services."""

import dataclasses
import functools

from medlarquay import ids, settings
from medlarquay.snapshots import (
    route,
    route_group,
    service,
    service_key,
    snapshot,
    team_binding,
)

__all__ = ('bind_team', 'binding_of')

_Split = tuple[tuple[service.Service, int], ...]
_Services = dict[service_key.ServiceKey, service.Service]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _TeamServices:
    """Services of one team, to which its routes are bound."""

    name: ids.TeamName
    services: _Services

    def service(self, name: ids.ServiceName) -> service.Service:
        """Return the service of the team with a given name."""
        return self.services[self.name, name]


def binding_of(
    previous: snapshot.Snapshot,
    team: ids.TeamName,
) -> team_binding.TeamBinding:
    """Return the routes and services of one team in a snapshot.

    The binding is empty if the snapshot has no document of the team.
    """
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
    earlier: team_binding.TeamBinding,
) -> team_binding.TeamBinding:
    """Bind the routes of a document to its services.

    Parameters
    ----------
    document : TeamDocument
        Valid document of the team.
    earlier : TeamBinding
        Binding of the team before the change; unchanged services, routes
        and route groups are reused from it.
    """
    services = {
        (document.team, parameters.name): _bind_service(
            document.team,
            parameters,
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
    earlier: team_binding.TeamBinding,
) -> service.Service:
    earlier_service = earlier.services.get((team, parameters.name))
    if earlier_service is not None and earlier_service.parameters == parameters:
        return earlier_service
    return service.Service(team=team, parameters=parameters)


def _bind_routes(
    document: settings.TeamDocument,
    services: _Services,
    earlier: team_binding.TeamBinding,
) -> dict[bytes, route_group.RouteGroup]:
    by_host: dict[str, list[settings.RouteSettings]] = {}
    for parameters in document.routes:
        by_host.setdefault(parameters.host, []).append(parameters)
    team = _TeamServices(name=document.team, services=services)
    groups = {}
    for name, host_routes in by_host.items():
        host = name.encode()
        groups[host] = _bind_host(host_routes, team, earlier.routes.get(host))
    return groups


def _bind_host(
    host_routes: list[settings.RouteSettings],
    team: _TeamServices,
    earlier: route_group.RouteGroup | None,
) -> route_group.RouteGroup:
    earlier_by_prefix = {
        bound.parameters.path_prefix: bound for bound in earlier or ()
    }
    routes = [
        _bind_route(
            parameters, team, earlier_by_prefix.get(parameters.path_prefix)
        )
        for parameters in host_routes
    ]
    reused = sum(
        earlier_by_prefix.get(bound.parameters.path_prefix) is bound
        for bound in routes
    )
    if earlier is not None and reused == len(routes) == len(earlier):
        return earlier
    return route_group.RouteGroup(routes)


def _bind_route(
    parameters: settings.RouteSettings,
    team: _TeamServices,
    earlier: route.Route | None,
) -> route.Route:
    target = team.service(parameters.service)
    split = tuple(
        (team.service(part.service), part.weight) for part in parameters.split
    )
    if earlier is not None and _is_unchanged(
        earlier, parameters, target, split
    ):
        return earlier
    return route.Route(
        parameters=parameters,
        prefix=parameters.path_prefix.encode(),
        idempotent_methods=_encode_methods(parameters.idempotent_methods),
        service=target,
        split=split,
    )


def _is_unchanged(
    earlier: route.Route,
    parameters: settings.RouteSettings,
    target: service.Service,
    split: _Split,
) -> bool:
    if earlier.service is not target or len(earlier.split) != len(split):
        return False
    if (
        earlier.parameters is not parameters
        and earlier.parameters != parameters
    ):
        return False
    pairs = zip(earlier.split, split, strict=True)
    return all(old[0] is new[0] for old, new in pairs)


# Few different sets of methods occur, so 8,000 routes share the cached ones.
@functools.lru_cache(maxsize=128)
def _encode_methods(methods: tuple[str, ...]) -> frozenset[bytes]:
    return frozenset(method.encode() for method in methods)
