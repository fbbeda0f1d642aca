"""The operators' configuration as a document of the product."""

import json
from types import MappingProxyType
from typing import Any

from medlarquay import errors, settings, states
from medlarquay.platform import (
    column_table,
    duration,
    route_cache,
    store_body,
)

__all__ = ('new_route_cache', 'translate_configuration')

_STEP = 'translate configuration'
# Kinds of routes as deploy/wire.toml names them.
_MAY_REPEAT = MappingProxyType({
    'repeat': True,
    'download': True,
    'once': False,
})
_RANKS = tuple(states.Rank)
_METHODS = tuple(method.value for method in settings.HttpMethod)
# What the parsing of a value of another shape or depth raises.
_MALFORMED = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


def new_route_cache() -> route_cache.RouteCache:
    """Return what keeps translated routes from one version to the next."""
    return route_cache.RouteCache(translate=_route)


def translate_configuration(
    content: bytes,
    *,
    cache: route_cache.RouteCache | None = None,
) -> bytes:
    """Return the document that a published configuration stands for.

    Parameters
    ----------
    content : bytes
        Value of the platform's configuration key (CBOR); routes and services are tables.
    cache : RouteCache or None
        Routes of the version before; takes those of this one.

    Returns
    -------
    bytes
        Document of the shared team (JSON), which the product checks whole.

    Raises
    ------
    SourceError
        If a field is missing or malformed.
    """
    try:
        return _document(
            store_body.decode_body(content),
            cache or new_route_cache(),
        )
    except _MALFORMED as cause:
        raise errors.SourceError(
            f'malformed configuration: {cause!r}',
            step=_STEP,
        ) from cause


def _document(
    found: dict[str, Any],
    cache: route_cache.RouteCache,
) -> bytes:
    services = json.dumps(
        dict.fromkeys(column_table.read_table(found['services']).rows, {}),
        separators=(',', ':'),
    )
    routes = ','.join(
        cache.render_routes(column_table.read_table(found['routes'])),
    )
    return f'{{"services":{services},"routes":[{routes}]}}'.encode()


def _route(entry: dict[str, Any]) -> dict[str, object]:
    # An unknown kind is not known to bear a second run.
    repeatable = _MAY_REPEAT.get(entry['kind'], False)
    route: dict[str, object] = {
        'host': entry['host'].lower(),
        'path_prefix': entry['path_prefix'],
        'rank': _rank(entry['priority']).value,
        'timeout_ms': duration.parse_duration_ms(
            entry['timeout'],
            field='timeout',
        ),
        'target_ms': duration.parse_duration_ms(
            entry['target_latency'],
            field='target_latency',
        ),
        'idempotent_methods': _METHODS if repeatable else [],
        'attempts': entry['attempts'],
    }
    split = entry.get('split')
    if split is None:
        return {**route, 'service': entry['service']}
    parts = [
        {'service': part['service'], 'weight': part['weight']} for part in split
    ]
    return {**route, 'split': parts}


def _rank(priority: int) -> states.Rank:
    # 0 is the most urgent; the product knows three ranks.
    return _RANKS[max(0, min(priority, len(_RANKS) - 1))]
