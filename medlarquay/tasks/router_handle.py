"""Handlers of the messages that the router receives."""

import functools

from medlarquay import events, ingress, messages, routing, states
from medlarquay.tasks import router_answers, router_attempts, router_base

__all__ = ('handle',)

# Neither the passing of the deadline, which the caller set, nor a cancellation
# indicates a fault of the owner.
_NOT_OWNER_FAULTS = frozenset((
    states.RefusalReason.DEADLINE_PASSED,
    states.RefusalReason.CANCELLED,
))


@functools.singledispatch
def handle(message: object, router: router_base.RouterBase) -> None:
    """Handle one message of the router.

    Raises
    ------
    TypeError
        If the type of the message is unknown.
    """
    raise TypeError(f'unexpected message {type(message).__name__}')


@handle.register
def _replaced(
    message: events.SnapshotReplaced, router: router_base.RouterBase
) -> None:
    router.table.replace(message.snapshot)
    router.learn_service(message.snapshot)
    router.routing_state.round_robin.apply_snapshot(message.snapshot)
    router.routing_state.budgets.apply_snapshot(message.snapshot)
    router.routing_state.observations.forget_except(router.table.instances())
    router.schedule_tick()


@handle.register
def _kept(
    message: events.LocalBackendKept, router: router_base.RouterBase
) -> None:
    router.table.keep(message.record)


@handle.register
def _confirmed(
    message: events.FreshnessConfirmed,
    router: router_base.RouterBase,
) -> None:
    router.table.confirmed_at = message.confirmed_at


@handle.register
def _rejected(
    message: events.RequestRejected, router: router_base.RouterBase
) -> None:
    router_answers.refuse_request(message, message.reason, router)


@handle.register
def _received(
    message: events.RequestReceived, router: router_base.RouterBase
) -> None:
    now = router.clock()
    if router.draining and now >= router.drain.refuse_at:
        router_answers.refuse_request(
            message, states.RefusalReason.DRAINING, router
        )
        return
    opened = ingress.open_call(
        message, router.table, router.routing_state.round_robin, now
    )
    if isinstance(opened, routing.ChoiceRefused):
        router_answers.refuse_request(message, opened.reason, router)
    elif isinstance(opened, ingress.KeyRequest):
        router.key_issuer.request(opened, router.routing_state, now)
    else:
        opened.request_id = router.request_id(message)
        if router.draining:
            opened.limit_deadline(router.drain.answer_by)
        router.routing_state.budgets.for_service(
            opened.service
        ).count_first_attempt()
        router_attempts.attempt(opened, router)


@handle.register
def _gone(message: events.CallerGone, router: router_base.RouterBase) -> None:
    router.incarnations.remove_caller(message.caller)
    call = router.calls.finish_call_of(message.caller)
    router.calls.pending_request = None
    if call is not None:
        router.reporter.record_unanswered(call, states.Unanswered.CALLER_GONE)
        router.observe(routing.CallWithdrawn(instance=call.instance))
        router.sender.cancel(call.node, call.call_id)


@handle.register
def _answered(
    message: messages.CallAnswered, router: router_base.RouterBase
) -> None:
    call = router.finish(message.call_id)
    if call is None:
        return
    router.observe(
        routing.AnswerObserved(
            instance=call.instance,
            latency=router.clock() - call.sent_at,
            load=message.load,
            failed=message.failed,
            route=call.route.name,
            large=message.large,
        ),
    )
    if message.failed and call.parameters.idempotent:
        router_attempts.handle_failure(call, message, router)
    else:
        router_answers.send_answer(call, message, router)


@handle.register
def _refused(
    message: messages.CallRefused, router: router_base.RouterBase
) -> None:
    call = router.finish(message.call_id)
    if call is None:
        return
    router.observe(
        routing.RefusalObserved(
            instance=call.instance,
            reason=message.reason,
            load=message.load,
        ),
    )
    router_attempts.handle_failure(call, message, router)


@handle.register
def _unknown(
    message: messages.CallUnknown, router: router_base.RouterBase
) -> None:
    call = router.finish(message.call_id)
    if call is None:
        return
    if message.reason in _NOT_OWNER_FAULTS:
        router.observe(routing.CallWithdrawn(instance=call.instance))
    else:
        router.observe(routing.LossObserved(instance=call.instance))
    router_attempts.handle_failure(call, message, router)


@handle.register
def _expired(
    message: events.CallExpired, router: router_base.RouterBase
) -> None:
    call = router.calls.finish(message.call_id)
    if call is not None:
        # Not observed as a loss: the owner's report of the deadline may only
        # be late, and an owner that does not answer at all is detected by
        # probes (PeerSilent).
        router.observe(routing.CallWithdrawn(instance=call.instance))
        reason = states.RefusalReason.DEADLINE_PASSED
        if router.clock() >= router.drain.answer_by:
            reason = states.RefusalReason.DRAINING
        router_answers.send_unknown_outcome(call, reason, router)


@handle.register
def _ticked(message: events.Tick, router: router_base.RouterBase) -> None:
    router.observe(message)
    for call in router.calls.expired(message.now):
        # A call that is still in the send queue is refused as not run before
        # the CallExpired message posted below is handled.
        router.sender.cancel(call.node, call.call_id, expired=True)
        router.post(events.CallExpired(call_id=call.call_id))
    router.key_issuer.refuse_expired(message.now)
    router.schedule_tick()


@handle.register
def _greeted(
    message: events.PeerGreeted, router: router_base.RouterBase
) -> None:
    router.observe_node(message)
    router.key_issuer.handle_greeting(message)


@handle.register
def _peer_silent(
    message: events.PeerSilent, router: router_base.RouterBase
) -> None:
    router.observe_node(message)
    for call in router.calls:
        if call.node == message.instance:
            router_attempts.retry_after_silence(call, router)


@handle.register
def _peer_lost(
    message: events.PeerLost, router: router_base.RouterBase
) -> None:
    router.observe_node(message)
    router.key_issuer.handle_link_loss(message, router.routing_state)


@handle.register
def _peer_state(
    message: events.PeerHeard | messages.Draining,
    router: router_base.RouterBase,
) -> None:
    router.observe_node(message)


@handle.register
def _state_changed(
    message: events.LifecycleChanged, router: router_base.RouterBase
) -> None:
    if message.state is not states.NodeState.STOPPED:
        return
    # The process ends while these calls are open; nothing else logs them.
    for call in router.calls:
        router.calls.finish(call.call_id)
        router.reporter.record_unanswered(call, states.Unanswered.NODE_STOPPED)


@handle.register
def _drain(
    message: events.DrainRequested, router: router_base.RouterBase
) -> None:
    router.draining = True
    router.drain = message
    router.calls.limit_deadline(message.answer_by)
    router.schedule_tick()
