"""The ``Retry-After`` field of refusals."""

import dataclasses
import random as random_module

from medlarquay import events, states
from medlarquay.ingress import ingress_settings

__all__ = ('with_retry_after',)

# About two service times of the slower services, in which a full queue makes
# progress. The random spread prevents callers that were refused together from
# retrying together.
_LOAD_DELAY_S = 0.15
_LOAD_SPREAD_S = 0.3
# About the time that a node takes from its start to its first configuration,
# or from the loss of its parent to the next confirmation.
_START_DELAY_S = 0.5
_START_SPREAD_S = 0.5

_LOAD_REASONS = frozenset((
    states.RefusalReason.QUEUE_FULL,
    states.RefusalReason.DEADLINE_UNREACHABLE,
    states.RefusalReason.SHED,
    states.RefusalReason.COLD_START,
    states.RefusalReason.NO_BACKEND,
    states.RefusalReason.BACKEND_DOWN,
    states.RefusalReason.OWNER_UNREACHABLE,
))
_START_REASONS = frozenset((
    states.RefusalReason.NO_CONFIGURATION,
    states.RefusalReason.FRESHNESS_LOST,
    states.RefusalReason.DRAINING,
))


def with_retry_after(
    answer: events.AnswerReady,
    reason: states.RefusalReason,
    settings: ingress_settings.IngressSettings,
    random: random_module.Random,
    *,
    link_wait: float = 0,
) -> events.AnswerReady:
    """Add a ``Retry-After`` field to a refusal, if it may help to retry.

    Parameters
    ----------
    answer : AnswerReady
        Refusal.
    reason : RefusalReason
        Reason of the refusal; for some a retry would get the same answer, so
        they add no field.
    settings : IngressSettings
        State whether refusals have the field at all.
    random : Random
        Source of random numbers for the spread of the delays.
    link_wait : float
        Seconds until the large answers that wait at the owner have been sent.

    Returns
    -------
    AnswerReady
        Refusal, with the field if one applies.
    """
    if not settings.sends_retry_after:
        return answer
    seconds = _retry_after_s(reason, random, link_wait)
    if seconds is None:
        return answer
    field = (b'retry-after', b'%.2f' % seconds)
    return dataclasses.replace(answer, headers=(*answer.headers, field))


def _retry_after_s(
    reason: states.RefusalReason,
    random: random_module.Random,
    link_wait: float,
) -> float | None:
    if reason is states.RefusalReason.LINK_FULL:
        # Waiting answers leave the link one after the other, so the retries
        # are spread over the whole time that this takes.
        return _LOAD_DELAY_S + max(_LOAD_SPREAD_S, link_wait) * random.random()
    if reason in _LOAD_REASONS:
        return _LOAD_DELAY_S + _LOAD_SPREAD_S * random.random()
    if reason in _START_REASONS:
        return _START_DELAY_S + _START_SPREAD_S * random.random()
    return None
