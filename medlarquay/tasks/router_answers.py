"""What the router tells the callers of requests."""

import functools

from medlarquay import events, ingress, keys, messages, states
from medlarquay.tasks import router_base

__all__ = (
    'give_up',
    'refuse_request',
    'tell_answer',
    'tell_refusal',
    'tell_unknown',
)


def refuse_request(
    message: events.RequestReceived | events.RequestRejected,
    reason: states.RefusalReason,
    router: router_base.RouterBase,
) -> None:
    """Refuse a request that did not become a call."""
    answer = ingress.with_retry_after(
        ingress.refusal(caller=message.caller, reason=reason),
        reason,
        router.settings,
        router.routing_state.random,
    )
    request_id = ''
    if isinstance(message, events.RequestReceived):
        request_id = router.request_id(message)
    router.reporter.record_refusal(message, answer, reason, request_id)
    router.answer(answer, request_id)


def tell_answer(
    call: ingress.IngressCall,
    message: messages.CallAnswered,
    router: router_base.RouterBase,
) -> None:
    """Give the caller of a call the answer of a backend server."""
    answer = ingress.backend_answer(caller=call.caller, message=message)
    router.reporter.told(call, answer, states.Outcome.RUN, None)
    router.answer(answer, call.request_id)


def tell_refusal(
    call: ingress.IngressCall,
    reason: states.RefusalReason,
    router: router_base.RouterBase,
    *,
    final: bool,
    link_wait: float = 0,
) -> None:
    """Tell the caller of a call that its last attempt was refused.

    It is told not run unless an earlier attempt may have run.
    """
    if call.may_have_run:
        tell_unknown(call, reason, router)
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
    router.reporter.told(call, answer, outcome, reason)
    router.answer(answer, call.request_id)


def tell_unknown(
    call: ingress.IngressCall,
    reason: states.RefusalReason,
    router: router_base.RouterBase,
) -> None:
    """Tell the caller of a call that its outcome is not known."""
    answer = ingress.unknown_outcome(caller=call.caller, reason=reason)
    router.reporter.told(call, answer, states.Outcome.UNKNOWN, reason)
    router.answer(answer, call.request_id)


@functools.singledispatch
def give_up(
    failure: object,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    """Tell the caller of a call that is not attempted again how it ended.

    Raises
    ------
    TypeError
        If the type of the failure is unknown.
    """
    raise TypeError(f'unexpected failure {type(failure).__name__}')


@give_up.register
def _give_up_refused(
    failure: messages.CallRefused,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    link_wait = 0 if failure.load is None else failure.load.link_wait
    tell_refusal(
        call,
        failure.reason,
        router,
        final=True,
        link_wait=link_wait,
    )


@give_up.register
def _give_up_unknown(
    failure: messages.CallUnknown,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    tell_unknown(call, failure.reason, router)


@give_up.register
def _give_up_answered(
    failure: messages.CallAnswered,
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> None:
    tell_answer(call, failure, router)
