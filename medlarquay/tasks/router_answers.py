"""Answers that the router sends to callers."""

import functools

from medlarquay import events, ingress, keys, messages, states
from medlarquay.tasks import router_base

__all__ = (
    'send_failure',
    'refuse_request',
    'send_answer',
    'send_refusal',
    'send_unknown_outcome',
)


def refuse_request(
    message: events.RequestReceived | events.RequestRejected,
    reason: states.RefusalReason,
    router: router_base.RouterBase,
) -> None:
    """Refuse a request that has no call in progress."""
    answer = ingress.with_retry_after(
        ingress.refusal(caller=message.caller, reason=reason),
        reason,
        router.settings,
        router.routing_state.random,
    )
    request_id = ''
    if isinstance(message, events.RequestReceived):
        request_id = router.request_id(message)
    router.reporter.record_refusal(
        message, answer, reason, router.table, request_id
    )
    router.answer(answer, request_id)


def send_answer(
    call: ingress.IngressCall,
    message: messages.CallAnswered,
    router: router_base.RouterBase,
) -> None:
    """Send the answer of a backend server to the caller of a call."""
    answer = ingress.backend_answer(caller=call.caller, message=message)
    router.reporter.record_answer(call, answer, states.Outcome.RUN, None)
    router.answer(answer, call.request_id)


def send_refusal(
    call: ingress.IngressCall,
    reason: states.RefusalReason,
    router: router_base.RouterBase,
    *,
    final: bool,
    link_wait: float = 0,
) -> None:
    """Send the refusal of the last attempt to the caller of a call.

    The outcome is unknown if an earlier attempt may have run.

    Parameters
    ----------
    call : IngressCall
        Call.
    reason : RefusalReason
        Reason of the refusal.
    router : RouterBase
        Router.
    final : bool
        Whether upstream hops must not retry.
    link_wait : float
        Seconds until the large answers that wait at the owner have been sent.
    """
    if call.may_have_run:
        send_unknown_outcome(call, reason, router)
        return
    unreachable = reason is states.RefusalReason.OWNER_UNREACHABLE
    if unreachable and isinstance(call.parameters.key, keys.BoundKey):
        reason = states.RefusalReason.KEY_HOME_LOST
    answer = ingress.refusal(
        caller=call.caller,
        reason=reason,
        keyed=call.parameters.key is not None,
        final=final,
    )
    answer = ingress.with_retry_after(
        answer,
        reason,
        router.settings,
        router.routing_state.random,
        link_wait=link_wait,
    )
    outcome = ingress.refusal_outcome(reason)
    router.reporter.record_answer(call, answer, outcome, reason)
    router.answer(answer, call.request_id)


def send_unknown_outcome(
    call: ingress.IngressCall,
    reason: states.RefusalReason,
    router: router_base.RouterBase,
) -> None:
    """Tell the caller of a call that its outcome is unknown."""
    answer = ingress.unknown_outcome(caller=call.caller, reason=reason)
    router.reporter.record_answer(call, answer, states.Outcome.UNKNOWN, reason)
    router.answer(answer, call.request_id)


@functools.singledispatch
def send_failure(
    failure: object,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    """Send the failure of a call that is not retried to its caller.

    Raises
    ------
    TypeError
        If the type of the failure is unknown.
    """
    raise TypeError(f'unexpected failure {type(failure).__name__}')


@send_failure.register
def _send_failure_refused(
    failure: messages.CallRefused,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    link_wait = 0 if failure.load is None else failure.load.link_wait
    send_refusal(
        call,
        failure.reason,
        router,
        final=True,
        link_wait=link_wait,
    )


@send_failure.register
def _send_failure_unknown(
    failure: messages.CallUnknown,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    send_unknown_outcome(call, failure.reason, router)


@send_failure.register
def _send_failure_answered(
    failure: messages.CallAnswered,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    send_answer(call, failure, router)
