"""Answers to callers, with the outcome in their header fields."""

from types import MappingProxyType

from medlarquay import events, ids, messages, states, transport

__all__ = (
    'backend_answer',
    'forwarded_headers',
    'issued_key',
    'refusal',
    'refusal_outcome',
    'unknown_outcome',
)

_Headers = tuple[tuple[bytes, bytes], ...]

_OUTCOME = b'medlarquay-outcome'
_REASON = b'medlarquay-reason'
_CONNECTION = b'connection'
_FINAL = (b'medlarquay-retry', b'no')
_EARLIER_ATTEMPTS_UNKNOWN = (b'medlarquay-earlier-attempts', b'unknown')
_REPLAYED = (b'medlarquay-replayed', b'1')
# Removed from the answers of backend servers: one that passes on the answer
# to another call would otherwise state the outcome of this one.
_SYSTEM_HEADERS = frozenset((
    _OUTCOME,
    _REASON,
    _FINAL[0],
    _EARLIER_ATTEMPTS_UNKNOWN[0],
    _REPLAYED[0],
))
_UNKNOWN_STATUS = 502
_ISSUED_STATUS = 201
_DEFAULT_REFUSAL_STATUS = 503

_REFUSAL_STATUS = MappingProxyType({
    states.RefusalReason.MALFORMED: 400,
    states.RefusalReason.KEY_INVALID: 400,
    states.RefusalReason.NO_ROUTE: 404,
    states.RefusalReason.REQUEST_TOO_SLOW: 408,
    states.RefusalReason.BODY_TOO_LARGE: 413,
    states.RefusalReason.HEADER_TOO_LARGE: 431,
    states.RefusalReason.KEY_REUSED: 409,
    states.RefusalReason.KEY_RESULT_DROPPED: 409,
    states.RefusalReason.QUEUE_FULL: 429,
    states.RefusalReason.SHED: 429,
    states.RefusalReason.DEADLINE_UNREACHABLE: 429,
    states.RefusalReason.LINK_FULL: 429,
    states.RefusalReason.INTERNAL_ERROR: _UNKNOWN_STATUS,
})

# The home of the key did not look it up: this attempt was not run, but earlier
# attempts with the same key may have been.
_KEY_NOT_LOOKED_UP = frozenset((
    states.RefusalReason.KEY_HOME_LOST,
    states.RefusalReason.KEY_HISTORY_UNKNOWN,
    states.RefusalReason.OWNER_UNREACHABLE,
    states.RefusalReason.NOT_HOME,
    states.RefusalReason.FRESHNESS_LOST,
    states.RefusalReason.NO_CONFIGURATION,
))


def refusal(
    *,
    caller: ids.CallerId,
    reason: states.RefusalReason,
    keyed: bool = False,
    final: bool = False,
) -> events.AnswerReady:
    """Return the answer to a request that the system refuses.

    Parameters
    ----------
    caller : CallerId
        Connection of the caller.
    reason : RefusalReason
        Reason of the refusal.
    keyed : bool
        Whether the request carried an idempotency key, whose earlier
        attempts may have run.
    final : bool
        Whether upstream hops must not retry.
    """
    outcome = refusal_outcome(reason)
    final = final or outcome is states.Outcome.UNKNOWN
    headers = _outcome(outcome, reason, final=final)
    if keyed and reason in _KEY_NOT_LOOKED_UP:
        headers = (*headers, _EARLIER_ATTEMPTS_UNKNOWN)
    return events.AnswerReady(
        caller=caller,
        status=_REFUSAL_STATUS.get(reason, _DEFAULT_REFUSAL_STATUS),
        headers=headers,
        body=b'',
    )


def refusal_outcome(reason: states.RefusalReason) -> states.Outcome:
    """Return the outcome that a refusal for this reason states."""
    if reason is states.RefusalReason.KEY_RESULT_DROPPED:
        # An earlier attempt ran, but its answer was not kept.
        return states.Outcome.RUN
    if reason is states.RefusalReason.INTERNAL_ERROR:
        # The error may have occurred after the request was sent.
        return states.Outcome.UNKNOWN
    return states.Outcome.NOT_RUN


def unknown_outcome(
    *,
    caller: ids.CallerId,
    reason: states.RefusalReason,
) -> events.AnswerReady:
    """Return the answer for a request that may or may not have run."""
    return events.AnswerReady(
        caller=caller,
        status=_UNKNOWN_STATUS,
        headers=_outcome(states.Outcome.UNKNOWN, reason, final=True),
        body=b'',
    )


def backend_answer(
    *,
    caller: ids.CallerId,
    message: messages.CallAnswered,
) -> events.AnswerReady:
    """Return the answer of a backend server with the outcome added."""
    headers = [
        pair for pair in message.headers if pair[0] not in _SYSTEM_HEADERS
    ]
    headers.append((_OUTCOME, states.Outcome.RUN.value.encode()))
    if message.replayed:
        headers.append(_REPLAYED)
    if not message.retry_allowed or _FINAL in message.headers:
        headers.append(_FINAL)
    return events.AnswerReady(
        caller=caller,
        status=message.status,
        headers=tuple(headers),
        body=message.body,
    )


def issued_key(
    *,
    caller: ids.CallerId,
    key: ids.RequestKey,
) -> events.AnswerReady:
    """Return the answer that contains a new request key."""
    return events.AnswerReady(
        caller=caller,
        status=_ISSUED_STATUS,
        headers=(
            (_OUTCOME, states.Outcome.RUN.value.encode()),
            (b'content-type', b'text/plain'),
            (b'cache-control', b'no-store'),
            (b'idempotency-key', key.encode()),
        ),
        body=key.encode(),
    )


def forwarded_headers(headers: _Headers) -> _Headers:
    """Return the header fields without the hop-by-hop ones.

    Notes
    -----
    Fields listed in ``Connection`` are hop-by-hop as well (RFC 9110, section
    7.6.1).
    """
    dropped = transport.HOP_BY_HOP
    for name, content in headers:
        if name == _CONNECTION:
            named = content.lower().replace(b' ', b'').split(b',')
            dropped = dropped.union(named) - {b'host'}
    return tuple(pair for pair in headers if pair[0] not in dropped)


def _outcome(
    outcome: states.Outcome,
    reason: states.RefusalReason,
    *,
    final: bool,
) -> _Headers:
    headers = (
        (_OUTCOME, outcome.value.encode()),
        (_REASON, reason.value.encode()),
    )
    return (*headers, _FINAL) if final else headers
