"""Parsing of the header fields that set rank, deadline and key."""

from types import MappingProxyType

from medlarquay import errors, events, keys, snapshots, states
from medlarquay.routing import call_parameters, choice_refused

__all__ = ('read_parameters',)

_TIMEOUT = b'request-timeout-ms'
_RANK = b'medlarquay-rank'
_KEY = b'idempotency-key'
_PARAMETER_FIELDS = frozenset((_TIMEOUT, _RANK, _KEY))
_MS_PER_SECOND = 1000
# Ten digits of milliseconds are 115 days; longer numbers are rejected before
# conversion.
_MAX_DIGITS = 10

_RANK_POSITIONS = MappingProxyType({
    rank: position for position, rank in enumerate(states.Rank)
})
_RANKS_BY_NAME = MappingProxyType({
    rank.value.encode(): rank for rank in states.Rank
})


def read_parameters(
    message: events.RequestReceived,
    route: snapshots.Route,
    now: float,
) -> call_parameters.CallParameters | choice_refused.ChoiceRefused:
    """Read rank, deadline and key of a request.

    Parameters
    ----------
    message : RequestReceived
        Request.
    route : Route
        Route of the request, which limits its rank and deadline.
    now : float
        Time of receipt, seconds on the monotonic clock.

    Returns
    -------
    CallParameters or ChoiceRefused
        Refused if a field is malformed or present twice.
    """
    fields: dict[bytes, bytes] = {}
    for name, content in message.headers:
        if name not in _PARAMETER_FIELDS:
            continue
        if name in fields:
            return _refuse(states.RefusalReason.MALFORMED)
        fields[name] = content
    try:
        return _parameters(message, route, fields, now)
    except errors.RequestError:
        return _refuse(states.RefusalReason.KEY_INVALID)
    except ValueError:
        return _refuse(states.RefusalReason.MALFORMED)


def _parameters(
    message: events.RequestReceived,
    route: snapshots.Route,
    fields: dict[bytes, bytes],
    now: float,
) -> call_parameters.CallParameters:
    idempotent = message.method in route.idempotent_methods
    timeout_ms = _timeout_ms(fields.get(_TIMEOUT), route)
    deadline = now + timeout_ms / _MS_PER_SECOND
    target_ms = route.parameters.target_ms or timeout_ms
    return call_parameters.CallParameters(
        rank=_rank(fields.get(_RANK), route),
        deadline=deadline,
        due=min(deadline, now + target_ms / _MS_PER_SECOND),
        idempotent=idempotent,
        # An idempotent request needs no home; its key is left to the
        # application.
        key=None if idempotent else _key(fields.get(_KEY)),
    )


def _timeout_ms(content: bytes | None, route: snapshots.Route) -> int:
    limit = route.parameters.timeout_ms
    if content is None:
        return limit
    if not content.isdigit() or len(content) > _MAX_DIGITS:
        raise ValueError('timeout is not a number of milliseconds')
    return min(int(content), limit)


def _rank(content: bytes | None, route: snapshots.Route) -> states.Rank:
    limit = route.parameters.rank
    if content is None:
        return limit
    requested = _RANKS_BY_NAME.get(content.lower())
    if requested is None:
        raise ValueError('unknown rank')
    return max(requested, limit, key=lambda rank: _RANK_POSITIONS[rank])


def _key(content: bytes | None) -> keys.BoundKey | keys.PlainKey | None:
    if content is None:
        return None
    try:
        text = content.decode('ascii')
    except UnicodeDecodeError as failure:
        raise errors.RequestError(
            'idempotency key is not ASCII',
            step='parse key',
        ) from failure
    return keys.parse_key(text)


def _refuse(reason: states.RefusalReason) -> choice_refused.ChoiceRefused:
    return choice_refused.ChoiceRefused(reason=reason)
