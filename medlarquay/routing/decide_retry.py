"""Decision whether to retry a failed request."""

import functools
from types import MappingProxyType

from medlarquay import messages, states
from medlarquay.routing import (
    retry_budget,
    retry_context,
    retry_denied,
    retry_granted,
)

__all__ = ('decide_retry',)

_Decision = retry_granted.RetryGranted | retry_denied.RetryDenied

# Prevents one request from using up the budget that ten others earned.
_MAX_RETRIES = 2
# Limit of retries without budget. A refusal before the backend server costs
# only two messages; more refusals show that no owner has free capacity.
_MAX_FREE_RETRIES = 4

# Refusals that another backend server might not repeat. All refusals prove
# that the request was not run; the others would recur at any backend server.
_RETRYABLE_REFUSALS = MappingProxyType({
    states.RefusalReason.OWNER_UNREACHABLE: (
        states.RetryReason.OWNER_UNREACHABLE
    ),
    states.RefusalReason.DRAINING: states.RetryReason.REFUSED_DRAINING,
    states.RefusalReason.NO_CONFIGURATION: states.RetryReason.REFUSED_NOT_READY,
    states.RefusalReason.QUEUE_FULL: states.RetryReason.REFUSED_FOR_LOAD,
    states.RefusalReason.DEADLINE_UNREACHABLE: (
        states.RetryReason.REFUSED_FOR_LOAD
    ),
    states.RefusalReason.LINK_FULL: states.RetryReason.REFUSED_FOR_LOAD,
    states.RefusalReason.SHED: states.RetryReason.REFUSED_FOR_LOAD,
    states.RefusalReason.COLD_START: states.RetryReason.REFUSED_FOR_LOAD,
    states.RefusalReason.BACKEND_DOWN: states.RetryReason.REFUSED_BACKEND_DOWN,
    states.RefusalReason.NOT_HOME: states.RetryReason.REFUSED_NOT_HOME,
})


@functools.singledispatch
def decide_retry(
    failure: object,
    context: retry_context.RetryContext,
    budget: retry_budget.RetryBudget,
    now: float,
) -> _Decision:
    """Decide whether to retry a failed request.

    Parameters
    ----------
    failure : CallRefused, CallUnknown or CallAnswered
        Result of the attempt.
    context : RetryContext
        State of the request.
    budget : RetryBudget
        Retry budget of the service; a granted retry takes a token unless the
        request was refused before it was sent to a backend server.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    RetryGranted or RetryDenied

    Raises
    ------
    TypeError
        If the type of the failure is unknown.
    """
    raise TypeError(f'unexpected failure {type(failure).__name__}')


@decide_retry.register
def _refused(
    failure: messages.CallRefused,
    context: retry_context.RetryContext,
    budget: retry_budget.RetryBudget,
    now: float,
) -> _Decision:
    if not failure.retry_allowed:
        return _deny(states.RetryDenial.MARKED_FINAL)
    reason = _RETRYABLE_REFUSALS.get(failure.reason)
    if reason is None:
        return _deny(states.RetryDenial.NOT_RETRYABLE)
    if not _has_other_owner(failure.reason, context):
        return _deny(states.RetryDenial.NO_OTHER_BACKEND)
    if failure.reason is states.RefusalReason.SHED:
        return _grant_from_budget(reason, context, budget, now)
    return _grant_without_budget(reason, context, now)


@decide_retry.register
def _unknown(
    failure: messages.CallUnknown,
    context: retry_context.RetryContext,
    budget: retry_budget.RetryBudget,
    now: float,
) -> _Decision:
    if not context.idempotent:
        return _deny(states.RetryDenial.NOT_PROVED_UNRUN)
    if failure.reason is states.RefusalReason.ANSWER_TOO_LARGE:
        # Another backend server would send the same answer.
        return _deny(states.RetryDenial.NOT_RETRYABLE)
    if not context.other_backend:
        return _deny(states.RetryDenial.NO_OTHER_BACKEND)
    return _grant_from_budget(
        states.RetryReason.OUTCOME_UNKNOWN, context, budget, now
    )


@decide_retry.register
def _answered(
    failure: messages.CallAnswered,
    context: retry_context.RetryContext,
    budget: retry_budget.RetryBudget,
    now: float,
) -> _Decision:
    if not failure.retry_allowed:
        return _deny(states.RetryDenial.MARKED_FINAL)
    if not failure.failed:
        return _deny(states.RetryDenial.NOT_RETRYABLE)
    if not context.idempotent:
        return _deny(states.RetryDenial.NOT_PROVED_UNRUN)
    if not context.other_backend:
        return _deny(states.RetryDenial.NO_OTHER_BACKEND)
    return _grant_from_budget(
        states.RetryReason.ANSWERED_FAILURE, context, budget, now
    )


def _has_other_owner(
    reason: states.RefusalReason,
    context: retry_context.RetryContext,
) -> bool:
    if reason is states.RefusalReason.NOT_HOME:
        return context.newer_snapshot and not context.retries
    return context.other_backend and not context.keyed


def _grant_from_budget(
    reason: states.RetryReason,
    context: retry_context.RetryContext,
    budget: retry_budget.RetryBudget,
    now: float,
) -> _Decision:
    if now + context.expected_time >= context.deadline:
        return _deny(states.RetryDenial.DEADLINE_TOO_CLOSE)
    if context.sent_attempts >= context.max_sent_attempts:
        return _deny(states.RetryDenial.ATTEMPTS_USED)
    if context.retries >= _MAX_RETRIES or not budget.take():
        return _deny(states.RetryDenial.BUDGET_EXHAUSTED)
    return retry_granted.RetryGranted(reason=reason)


def _grant_without_budget(
    reason: states.RetryReason,
    context: retry_context.RetryContext,
    now: float,
) -> _Decision:
    """Decide on the retry of a call that no backend server received."""
    if now + context.expected_time >= context.deadline:
        return _deny(states.RetryDenial.DEADLINE_TOO_CLOSE)
    if context.retries >= _MAX_FREE_RETRIES:
        return _deny(states.RetryDenial.ATTEMPTS_USED)
    return retry_granted.RetryGranted(reason=reason)


def _deny(denial: states.RetryDenial) -> retry_denied.RetryDenied:
    return retry_denied.RetryDenied(denial=denial)
