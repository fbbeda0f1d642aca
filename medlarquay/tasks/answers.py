"""Answers to callers, with the outcome stated in their headers."""

from types import MappingProxyType

from medlarquay import events, ids, messages, states, transport

__all__ = ('answer', 'forwarded_headers', 'refusal', 'unknown')

_OUTCOME = b'medlarquay-outcome'
_REASON = b'medlarquay-reason'
_UNKNOWN_STATUS = 502
_DEFAULT_REFUSAL_STATUS = 503

_REFUSAL_STATUS = MappingProxyType({
    states.RefusalReason.MALFORMED: 400,
    states.RefusalReason.NO_ROUTE: 404,
    states.RefusalReason.BODY_TOO_LARGE: 413,
    states.RefusalReason.HEADER_TOO_LARGE: 431,
    states.RefusalReason.KEY_REUSED: 409,
    states.RefusalReason.QUEUE_FULL: 429,
    states.RefusalReason.SHED: 429,
    states.RefusalReason.DEADLINE_UNREACHABLE: 429,
    states.RefusalReason.DEADLINE_PASSED: 504,
})


def refusal(
    *,
    caller: ids.CallerId,
    reason: states.RefusalReason,
) -> events.AnswerReady:
    """Return the answer that says a request was not run."""
    return events.AnswerReady(
        caller=caller,
        status=_REFUSAL_STATUS.get(reason, _DEFAULT_REFUSAL_STATUS),
        headers=_outcome(states.Outcome.NOT_RUN, reason),
        body=b'',
    )


def unknown(
    *,
    caller: ids.CallerId,
    reason: states.RefusalReason,
) -> events.AnswerReady:
    """Return the answer that says nobody knows whether a request ran."""
    return events.AnswerReady(
        caller=caller,
        status=_UNKNOWN_STATUS,
        headers=_outcome(states.Outcome.UNKNOWN, reason),
        body=b'',
    )


def answer(
    *,
    caller: ids.CallerId,
    message: messages.CallAnswered,
) -> events.AnswerReady:
    """Return the answer of a backend server with its outcome."""
    return events.AnswerReady(
        caller=caller,
        status=message.status,
        headers=(
            *message.headers,
            (_OUTCOME, states.Outcome.RUN.value.encode()),
        ),
        body=message.body,
    )


def forwarded_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header fields without those of one connection."""
    return tuple(
        pair for pair in headers if pair[0] not in transport.HOP_BY_HOP
    )


def _outcome(
    outcome: states.Outcome,
    reason: states.RefusalReason,
) -> tuple[tuple[bytes, bytes], ...]:
    return (
        (_OUTCOME, outcome.value.encode()),
        (_REASON, reason.value.encode()),
    )
