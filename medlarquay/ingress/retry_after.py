"""When a refused caller should come back."""

import dataclasses
import random as random_module

from medlarquay import events, states
from medlarquay.ingress import ingress_settings

__all__ = ('with_retry_after',)

# A queue that is full now has moved on by about two service times of the
# slower services. The spread keeps the callers that were refused together
# from coming back together.
_LOAD_S = 0.15
_LOAD_SPREAD_S = 0.3
# A node takes about this long from its start to its first configuration,
# and a node that lost its parent to the next confirmation.
_START_S = 0.5
_START_SPREAD_S = 0.5

_FOR_LOAD = frozenset((
    states.RefusalReason.QUEUE_FULL,
    states.RefusalReason.DEADLINE_UNREACHABLE,
    states.RefusalReason.SHED,
    states.RefusalReason.COLD_START,
    states.RefusalReason.NO_BACKEND,
    states.RefusalReason.BACKEND_DOWN,
    states.RefusalReason.OWNER_UNREACHABLE,
))
_FOR_START = frozenset((
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
    """Add to a refusal when the caller should come back.

    Parameters
    ----------
    answer : AnswerReady
        Refusal.
    reason : RefusalReason
        Why; after some of them coming back would change nothing.
    own : Front
        Whether callers are told at all.
    random : Random
        Spreads the callers.
    link_wait : float
        Seconds until the large answers that wait at the owner have left.
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
        # Room is made one answer after the other, so callers return over
        # the whole time in which those that wait leave.
        return _LOAD_S + max(_LOAD_SPREAD_S, link_wait) * random.random()
    if reason in _FOR_LOAD:
        return _LOAD_S + _LOAD_SPREAD_S * random.random()
    if reason in _FOR_START:
        return _START_S + _START_SPREAD_S * random.random()
    return None
