"""Application of admission events to the policy of a replay."""

import functools
import math

from medlarquay import admission
from medlarquay.testing.replay import fifo

__all__ = ('apply_event', 'next_check_at')


@functools.singledispatch
def apply_event(
    policy: object, event: object, now: float
) -> admission.Decisions:
    """Apply an admission event to a policy and return its decisions.

    Raises
    ------
    TypeError
        If the type of policy is unknown.
    """
    raise TypeError(f'unexpected policy {type(policy).__name__}')


@apply_event.register
def _apply_admission(
    policy: admission.Admission,
    event: object,
    now: float,
) -> admission.Decisions:
    return admission.decide(event, policy, now)


@apply_event.register
def _apply_fifo(
    policy: fifo.Fifo,
    event: object,
    now: float,
) -> admission.Decisions:
    if isinstance(event, admission.RequestArrived):
        return policy.arrive(event.exchange)
    if isinstance(event, admission.RequestFinished):
        return policy.finish()
    return ()


@functools.singledispatch
def next_check_at(policy: object, now: float) -> float:
    """Return when the policy next has to check its deadlines.

    Returns
    -------
    float
        Seconds from the start; infinity when no check is needed.
    """
    raise TypeError(f'unexpected policy {type(policy).__name__}')


@next_check_at.register
def _next_fifo_check_at(policy: fifo.Fifo, now: float) -> float:
    return math.inf


@next_check_at.register
def _next_admission_check_at(policy: admission.Admission, now: float) -> float:
    due = admission.next_check(policy, now)
    return math.inf if due is None else due
