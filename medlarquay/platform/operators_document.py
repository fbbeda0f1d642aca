"""Translation of the operators' configuration to a team document."""

import json
from types import MappingProxyType
from typing import Any

from medlarquay import errors, settings, states
from medlarquay.platform import (
    column_table,
    duration,
    route_cache,
    route_weights,
    store_body,
)

__all__ = ('new_route_cache', 'translate_configuration')

_STEP = 'translate configuration'
# Whether requests may be repeated, by the kind of the route as
# deploy/wire.toml names it.
_IS_REPEATABLE = MappingProxyType({
    'repeat': True,
    'download': True,
    'once': False,
    'upload': False,
})
_RANKS = tuple(states.Rank)
_METHODS = tuple(method.value for method in settings.HttpMethod)
# Errors that parsing a value of unexpected shape or depth raises.
_PARSE_ERRORS = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


def new_route_cache() -> route_cache.RouteCache:
    """Create an empty cache of translated routes."""
    return route_cache.RouteCache(translate=_translate_route)


def translate_configuration(
    content: bytes,
    *,
    cache: route_cache.RouteCache | None = None,
) -> bytes:
    """Translate a published configuration to a team document.

    Parameters
    ----------
    content : bytes
        Value of the platform's configuration key (CBOR); routes and services
        are tables.
    cache : RouteCache or None
        Translated routes of the previous version, which are replaced by
        those of this one.

    Returns
    -------
    bytes
        Document of the shared team (JSON). The product validates it and
        accepts or rejects it as a whole.

    Raises
    ------
    SourceError
        If a field is missing or malformed.
    """
    try:
        return _translate_tables(
            store_body.decode_body(content),
            cache or new_route_cache(),
        )
    except _PARSE_ERRORS as cause:
        raise errors.SourceError(
            f'malformed configuration: {cause!r}',
            step=_STEP,
        ) from cause


def _translate_tables(
    configuration: dict[str, Any],
    cache: route_cache.RouteCache,
) -> bytes:
    routes = column_table.read_table(configuration['routes'])
    declared = list(column_table.read_table(configuration['services']).rows)
    if len(declared) > settings.MAX_SERVICES:
        # A service without a route gets no requests. The names alone of as
        # many services as a value can hold would fill the memory of a node.
        used = _used_services(routes)
        declared = [name for name in declared if name in used]
    services = json.dumps(dict.fromkeys(declared, {}), separators=(',', ':'))
    rendered = ','.join(cache.render_routes(routes))
    return f'{{"services":{services},"routes":[{rendered}]}}'.encode()


def _used_services(routes: column_table.ColumnTable) -> frozenset[str]:
    whole = routes.column('service')
    parts = [part for split in routes.column('split') for part in split]
    return frozenset((*whole, *(part['service'] for part in parts)))


def _translate_route(entry: dict[str, Any]) -> dict[str, object]:
    # Requests of an unknown kind are not repeated.
    is_repeatable = _IS_REPEATABLE.get(entry['kind'], False)
    route: dict[str, object] = {
        'host': entry['host'].lower(),
        'path_prefix': entry['path_prefix'],
        'rank': _map_rank(entry['priority']).value,
        'timeout_ms': max(1, _limited_ms(entry, 'timeout')),
        'target_ms': _limited_ms(entry, 'target_latency'),
        'idempotent_methods': _METHODS if is_repeatable else [],
        'attempts': _limited(entry['attempts'], settings.MAX_ATTEMPTS),
    }
    split = entry.get('split')
    if split is None:
        return {**route, 'service': entry['service']}
    weights = route_weights.whole_weights([part['weight'] for part in split])
    parts = [
        {'service': part['service'], 'weight': weight}
        for part, weight in zip(split, weights, strict=True)
    ]
    return {**route, 'split': parts}


def _limited_ms(entry: dict[str, Any], field: str) -> int:
    # The store sets no limit; above that of the product there is no difference
    # to any caller.
    published = duration.parse_duration_ms(entry[field], field=field)
    return min(published, settings.MAX_TIMEOUT_MS)


def _limited(published: Any, high: int) -> Any:
    # The product rejects what is not a whole number, and names the field.
    return min(published, high) if isinstance(published, int) else published


def _map_rank(priority: int) -> states.Rank:
    # 0 is the most urgent; other priorities map to the nearest of three ranks.
    return _RANKS[max(0, min(priority, len(_RANKS) - 1))]
