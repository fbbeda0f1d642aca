"""Attempts and retries of calls."""

import dataclasses

from medlarquay import ingress, messages, replica, routing, states
from medlarquay.tasks import router_answers, router_base

__all__ = ('attempt', 'handle_failure', 'retry_after_silence')

# Maximum number of owners that are tried for one call. All but the last refuse
# a call that they cannot answer by its due time; each further owner costs a
# round trip.
_MAX_OWNERS = 3

_Failure = messages.CallRefused | messages.CallUnknown | messages.CallAnswered
_Choice = routing.OwnerChosen | routing.ChoiceRefused


def attempt(call: ingress.IngressCall, router: router_base.RouterBase) -> None:
    """Choose an owner and send the call to it; refuse it if there is none."""
    now = router.clock()
    query = ingress.owner_query(
        call.parameters.key,
        call,
        router.table,
        router.incarnations,
    )
    choice = routing.choose(query, router.routing_state, now)
    if isinstance(choice, routing.ChoiceRefused):
        router_answers.send_refusal(call, choice.reason, router, final=False)
        return
    _send(call, choice.backend, router)


def _send(
    call: ingress.IngressCall,
    backend: replica.InstanceRecord,
    router: router_base.RouterBase,
) -> None:
    """Send a call to the owner of a backend server."""
    now = router.clock()
    call.instance = backend.instance
    call.node = backend.node_name
    call.tried = (*call.tried, call.instance)
    call.generation = router.table.generation
    call.sent_at = now
    router.calls.add(call)
    router.observe(routing.CallSent(instance=call.instance))
    if router.alarm is not None:
        router.alarm.wake_at(call.deadline)
    owners = routing.count_eligible_owners(
        ingress.any_owner_query(call, router.table),
        router.routing_state,
        now,
    )
    last_attempt = len(call.tried) >= min(owners, _MAX_OWNERS)
    distance = router.table.zone_of(backend)
    request = ingress.call_request(
        call,
        router.settings,
        last_attempt=last_attempt,
        round_trip_s=routing.ROUND_TRIP_S[distance],
    )
    router.sender.send(
        backend,
        request,
        offered_first=routing.offers_first(len(request.body), distance),
        request_id=call.request_id,
    )
    router.calls.pending_request = None


def handle_failure(
    call: ingress.IngressCall, failure: _Failure, router: router_base.RouterBase
) -> None:
    """Retry a failed call, or send the failure to its caller."""
    if not routing.proves_not_sent(failure):
        call.sent_attempts += 1
    if not isinstance(failure, messages.CallRefused):
        call.may_have_run = True
    other = _choose_other(call, router)
    decision = _decide_retry(
        call, failure, other, router, sent_attempts=call.sent_attempts
    )
    if isinstance(decision, routing.RetryDenied):
        router.reporter.record_retry_decision(call, decision.denial)
        router_answers.send_failure(failure, call, router)
        return
    router.reporter.record_retry_decision(call, decision.reason)
    if isinstance(other, routing.OwnerChosen):
        _send(call, other.backend, router)
    else:
        attempt(call, router)


def retry_after_silence(
    call: ingress.IngressCall, router: router_base.RouterBase
) -> None:
    """Move a call from a silent owner to another if a retry is granted.

    Otherwise the call stays with its owner, which may only be slow.
    """
    failure = messages.CallUnknown(
        call_id=call.call_id,
        reason=states.RefusalReason.OWNER_LOST,
    )
    other = _choose_other(call, router)
    # The silent owner may have sent the call to its backend server.
    sent_attempts = call.sent_attempts + 1
    decision = _decide_retry(
        call, failure, other, router, sent_attempts=sent_attempts
    )
    granted = isinstance(decision, routing.RetryGranted)
    if not granted or not isinstance(other, routing.OwnerChosen):
        return
    router.calls.finish(call.call_id)
    router.observe(routing.CallWithdrawn(instance=call.instance))
    router.sender.cancel(call.node, call.call_id)
    call.sent_attempts = sent_attempts
    call.may_have_run = True
    router.reporter.record_retry_decision(call, states.RetryReason.OWNER_SILENT)
    _send(call, other.backend, router)


def _choose_other(
    call: ingress.IngressCall,
    router: router_base.RouterBase,
) -> _Choice:
    return routing.choose(
        ingress.any_owner_query(call, router.table),
        router.routing_state,
        router.clock(),
    )


def _decide_retry(
    call: ingress.IngressCall,
    failure: _Failure,
    other: _Choice,
    router: router_base.RouterBase,
    *,
    sent_attempts: int,
) -> routing.RetryGranted | routing.RetryDenied:
    now = router.clock()
    return routing.decide_retry(
        failure,
        dataclasses.replace(
            _retry_context(call, other, now, router),
            sent_attempts=sent_attempts,
        ),
        router.routing_state.budgets.for_service(call.service),
        now,
    )


def _retry_context(
    call: ingress.IngressCall,
    other: _Choice,
    now: float,
    router: router_base.RouterBase,
) -> routing.RetryContext:
    return routing.RetryContext(
        idempotent=call.parameters.idempotent,
        keyed=call.parameters.key is not None,
        retries=len(call.tried) - 1,
        deadline=call.parameters.deadline,
        expected_time=(
            routing.expected_time(
                other.backend,
                router.routing_state,
                now,
                route=call.route.name,
            )
            if isinstance(other, routing.OwnerChosen)
            else 0
        ),
        other_backend=isinstance(other, routing.OwnerChosen),
        newer_snapshot=router.table.generation > call.generation,
        max_sent_attempts=call.route.parameters.attempts,
    )
