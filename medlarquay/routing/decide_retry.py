"""Decision whether a failed request is attempted again."""

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

# Keeps one request from using the budget of ten others.
_MAX_RETRIES = 2
# A refusal that came before the backend server costs two messages; more of
# them show that the choice of owners finds no room.
_MAX_REFUSALS = 4

# Refusals that another backend server may not repeat. All refusals prove
# that the request was not run; the rest would be refused anywhere.
_RETRYABLE = MappingProxyType({
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
    """Decide whether a failed request is attempted again.

    Parameters
    ----------
    failure : CallRefused, CallUnknown or CallAnswered
        Result of the attempt.
    context : RetryContext
        What is known of the request.
    budget : RetryBudget
        A token is taken when the retry is granted.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    RetryGranted or RetryDenied
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
    reason = _RETRYABLE.get(failure.reason)
    if reason is None:
        return _deny(states.RetryDenial.NOT_RETRYABLE)
    if not _has_target(failure.reason, context):
        return _deny(states.RetryDenial.NO_OTHER_BACKEND)
    if failure.reason is states.RefusalReason.SHED:
        return _grant(reason, context, budget, now)
    return _grant_free(reason, context, now)


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
    return _grant(states.RetryReason.OUTCOME_UNKNOWN, context, budget, now)


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
    return _grant(states.RetryReason.ANSWERED_FAILURE, context, budget, now)


def _has_target(
    reason: states.RefusalReason,
    context: retry_context.RetryContext,
) -> bool:
    if reason is states.RefusalReason.NOT_HOME:
        return context.newer_snapshot and not context.retries
    return context.other_backend and not context.keyed


def _grant(
    reason: states.RetryReason,
    context: retry_context.RetryContext,
    budget: retry_budget.RetryBudget,
    now: float,
) -> _Decision:
    if now + context.expected_time >= context.deadline:
        return _deny(states.RetryDenial.DEADLINE_TOO_CLOSE)
    if context.sends >= context.max_sends:
        return _deny(states.RetryDenial.ATTEMPTS_USED)
    if context.retries >= _MAX_RETRIES or not budget.take():
        return _deny(states.RetryDenial.BUDGET_EXHAUSTED)
    return retry_granted.RetryGranted(reason=reason)


def _grant_free(
    reason: states.RetryReason,
    context: retry_context.RetryContext,
    now: float,
) -> _Decision:
    """Grant a retry of a request that no backend server has seen."""
    if now + context.expected_time >= context.deadline:
        return _deny(states.RetryDenial.DEADLINE_TOO_CLOSE)
    if context.retries >= _MAX_REFUSALS:
        return _deny(states.RetryDenial.ATTEMPTS_USED)
    return retry_granted.RetryGranted(reason=reason)


def _deny(denial: states.RetryDenial) -> retry_denied.RetryDenied:
    return retry_denied.RetryDenied(denial=denial)
