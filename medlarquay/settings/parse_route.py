"""Validation of one route of a document."""

import re

from medlarquay import ids, states
from medlarquay.settings import (
    document_value,
    host_owner,
    http_method,
    limits,
    parse_service,
    parse_split,
    route_field,
    route_settings,
)

__all__ = ('parse_prefix', 'parse_route')

_DNS_LABEL = '[a-z0-9]([a-z0-9-]*[a-z0-9])?'
_HOST_PATTERN = re.compile(rf'{_DNS_LABEL}(\.{_DNS_LABEL})*')
# Characters of a path (RFC 3986), without query and fragment.
_PREFIX_PATTERN = re.compile("/[A-Za-z0-9/._~!$&'()*+,;=:@%-]*")

# Most routes that allow repeated requests list all methods in this order, so
# this list is compared first.
_ALL_METHODS = tuple(method.value for method in http_method.HttpMethod)

_Fields = dict[route_field.RouteField, document_value.DocumentValue]


def parse_route(
    entry: document_value.DocumentValue,
) -> route_settings.RouteSettings:
    """Validate the fields of one route.

    Raises
    ------
    DocumentError
        If any field is invalid.
    """
    fields = entry.fields(route_field.RouteField)
    if route_field.RouteField.HOST not in fields:
        raise entry.error('must have the field host')
    split = parse_split.parse_split(fields.get(route_field.RouteField.SPLIT))
    if split:
        service = split[0].service
    else:
        service = _parse_service(entry, fields)
    return route_settings.RouteSettings(
        host=_parse_host(fields[route_field.RouteField.HOST]),
        path_prefix=parse_prefix(
            fields.get(route_field.RouteField.PATH_PREFIX)
        ),
        service=service,
        rank=_parse_rank(fields),
        timeout_ms=_parse_timeout(fields),
        idempotent_methods=_parse_methods(fields),
        split=split,
        attempts=_parse_number(
            fields.get(route_field.RouteField.ATTEMPTS),
            default=limits.DEFAULT_ATTEMPTS,
            low=1,
            high=limits.MAX_ATTEMPTS,
        ),
        target_ms=_parse_number(
            fields.get(route_field.RouteField.TARGET_MS),
            default=0,
            low=0,
            high=limits.MAX_TIMEOUT_MS,
        ),
    )


def _parse_host(entry: document_value.DocumentValue) -> str:
    host = entry.text(
        _HOST_PATTERN,
        length=limits.MAX_HOST_LENGTH,
        rule='must be a host name in lower case without port',
    )
    if host_owner.may_use_host(entry.team, host):
        return host
    raise entry.error(f'must end in .{entry.team}')


def parse_prefix(entry: document_value.DocumentValue | None) -> str:
    """Validate the path prefix of a route; return the default for None.

    Raises
    ------
    DocumentError
        If it is not a prefix of paths.
    """
    if entry is None:
        return limits.DEFAULT_PATH_PREFIX
    return entry.text(
        _PREFIX_PATTERN,
        length=limits.MAX_PATH_PREFIX_LENGTH,
        rule='must start with / and have only path characters',
    )


def _parse_service(
    entry: document_value.DocumentValue,
    fields: _Fields,
) -> ids.ServiceName:
    name_value = fields.get(route_field.RouteField.SERVICE)
    if name_value is None:
        raise entry.error('must have the field service or split')
    return parse_service.parse_reference(name_value)


def _parse_rank(fields: _Fields) -> states.Rank:
    entry = fields.get(route_field.RouteField.RANK)
    if entry is None:
        return states.Rank.NORMAL
    return entry.choice(states.Rank)


def _parse_timeout(fields: _Fields) -> int:
    return _parse_number(
        fields.get(route_field.RouteField.TIMEOUT_MS),
        default=limits.DEFAULT_TIMEOUT_MS,
        low=1,
        high=limits.MAX_TIMEOUT_MS,
    )


def _parse_number(
    entry: document_value.DocumentValue | None,
    *,
    default: int,
    low: int,
    high: int,
) -> int:
    return default if entry is None else entry.integer(low=low, high=high)


def _parse_methods(fields: _Fields) -> tuple[str, ...]:
    entry = fields.get(route_field.RouteField.IDEMPOTENT_METHODS)
    if entry is None:
        return tuple(
            method.value for method in limits.DEFAULT_IDEMPOTENT_METHODS
        )
    if entry.content == list(_ALL_METHODS):
        return _ALL_METHODS
    methods = tuple(
        element.choice(http_method.HttpMethod).value
        for element in entry.elements(limit=len(http_method.HttpMethod))
    )
    if len(set(methods)) < len(methods):
        raise entry.error('must not name a method twice')
    return methods
