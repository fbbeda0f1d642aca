"""Checking of one route of a document."""

import re

from medlarquay import ids, states
from medlarquay.settings import (
    document_value,
    http_method,
    limits,
    parse_service,
    route_field,
    route_settings,
)

__all__ = ('parse_route',)

_LABEL = '[a-z0-9]([a-z0-9-]*[a-z0-9])?'
_HOST_PATTERN = re.compile(rf'{_LABEL}(\.{_LABEL})*')
# Characters of a path in RFC 3986, without query and fragment.
_PREFIX_PATTERN = re.compile("/[A-Za-z0-9/._~!$&'()*+,;=:@%-]*")

_Fields = dict[route_field.RouteField, document_value.DocumentValue]


def parse_route(
    entry: document_value.DocumentValue,
) -> route_settings.RouteSettings:
    """Check one route by itself.

    Raises
    ------
    DocumentError
        If any rule is broken.
    """
    found = entry.fields(route_field.RouteField)
    for required in (
        route_field.RouteField.HOST,
        route_field.RouteField.SERVICE,
    ):
        if required not in found:
            raise entry.error(f'must have the field {required.value}')
    return route_settings.RouteSettings(
        host=_parse_host(found[route_field.RouteField.HOST]),
        path_prefix=_parse_prefix(found),
        service=_parse_service(found[route_field.RouteField.SERVICE]),
        rank=_parse_rank(found),
        timeout_ms=_parse_timeout(found),
        idempotent_methods=_parse_methods(found),
    )


def _parse_host(entry: document_value.DocumentValue) -> str:
    host = entry.text(
        _HOST_PATTERN,
        length=limits.MAX_HOST_LENGTH,
        rule='must be a host name in lower case without port',
    )
    if host.endswith(f'.{entry.team}'):
        return host
    raise entry.error(f'must end in .{entry.team}')


def _parse_prefix(found: _Fields) -> str:
    entry = found.get(route_field.RouteField.PATH_PREFIX)
    if entry is None:
        return limits.DEFAULT_PREFIX
    return entry.text(
        _PREFIX_PATTERN,
        length=limits.MAX_PREFIX_LENGTH,
        rule='must start with / and have only path characters',
    )


def _parse_service(entry: document_value.DocumentValue) -> ids.ServiceName:
    return ids.ServiceName(
        entry.text(
            parse_service.NAME_PATTERN,
            length=limits.MAX_NAME_LENGTH,
            rule=parse_service.NAME_RULE,
        ),
    )


def _parse_rank(found: _Fields) -> states.Rank:
    entry = found.get(route_field.RouteField.RANK)
    if entry is None:
        return states.Rank.NORMAL
    return entry.choice(states.Rank)


def _parse_timeout(found: _Fields) -> int:
    entry = found.get(route_field.RouteField.TIMEOUT_MS)
    if entry is None:
        return limits.DEFAULT_TIMEOUT_MS
    return entry.integer(low=1, high=limits.MAX_TIMEOUT_MS)


def _parse_methods(found: _Fields) -> tuple[str, ...]:
    entry = found.get(route_field.RouteField.IDEMPOTENT_METHODS)
    if entry is None:
        methods = list(limits.DEFAULT_METHODS)
    else:
        methods = [
            element.choice(http_method.HttpMethod)
            for element in entry.elements(limit=len(http_method.HttpMethod))
        ]
        if len(set(methods)) < len(methods):
            raise entry.error('must not name a method twice')
    return tuple(method.value for method in methods)
