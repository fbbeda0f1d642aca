"""Parsing and checking of a team's document."""

import json
from typing import Any

from medlarquay import errors, ids, states
from medlarquay.settings import route_settings, service_settings, team_document

__all__ = ('parse_document',)

_STEP = 'check document'
_DEFAULT_QUEUE_LIMIT = 64
_DEFAULT_COLD_START_MS = 0
_DEFAULT_TIMEOUT_MS = 2000
_IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')


def parse_document(
    *,
    team: ids.TeamName,
    content: bytes,
) -> team_document.TeamDocument:
    """Check one team's document whole.

    Parameters
    ----------
    team : TeamName
        Team that owns the subtree.
    content : bytes
        Document as published (JSON).

    Returns
    -------
    TeamDocument

    Raises
    ------
    DocumentError
        If any rule is broken; names the path, the value and the rule.
    """
    try:
        tree = json.loads(content)
    except ValueError as cause:
        raise errors.DocumentError(
            f'document is not JSON: {cause}',
            step=_STEP,
            peer=f'teams/{team}',
        ) from cause
    services = tuple(
        _parse_service(name, entry)
        for name, entry in sorted(tree.get('services', {}).items())
    )
    known = {entry.name for entry in services}
    routes = tuple(_parse_route(entry) for entry in tree.get('routes', ()))
    for index, route in enumerate(routes):
        if route.service not in known:
            raise errors.DocumentError(
                f'routes[{index}].service is {route.service!r}: '
                'must name a service of the same team',
                step=_STEP,
                peer=f'teams/{team}',
            )
    return team_document.TeamDocument(
        team=team,
        services=services,
        routes=routes,
    )


def _parse_service(
    name: str,
    entry: dict[str, Any],
) -> service_settings.ServiceSettings:
    floors = entry.get('floors', {})
    return service_settings.ServiceSettings(
        name=ids.ServiceName(name),
        floors=tuple(
            (rank, float(floors.get(rank.value, 0))) for rank in states.Rank
        ),
        queue_limit=entry.get('queue_limit', _DEFAULT_QUEUE_LIMIT),
        cold_start_ms=entry.get('cold_start_ms', _DEFAULT_COLD_START_MS),
    )


def _parse_route(entry: dict[str, Any]) -> route_settings.RouteSettings:
    return route_settings.RouteSettings(
        host=entry['host'],
        path_prefix=entry.get('path_prefix', '/'),
        service=ids.ServiceName(entry['service']),
        rank=states.Rank(entry.get('rank', 'normal')),
        timeout_ms=entry.get('timeout_ms', _DEFAULT_TIMEOUT_MS),
        idempotent_methods=tuple(
            entry.get('idempotent_methods', _IDEMPOTENT_METHODS),
        ),
    )
