"""The task that routes the requests of callers at the ingress."""

import dataclasses
import functools
import random as random_module
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import (
    events,
    ids,
    ingress,
    keys,
    messages,
    replica,
    routing,
    states,
)
from medlarquay.tasks import alarm, task

__all__ = ('Router',)

# A pause is noticed by a late timer also while no call is under way.
_HOUSEKEEPING_S = 1.0
# An owner that is not the last to be asked refuses what it cannot answer when
# due; each further one costs a round trip.
_OWNERS_ASKED = 3

_Failure = messages.CallRefused | messages.CallUnknown | messages.CallAnswered
_NodeEvent = events.PeerGreeted | events.PeerLost | messages.Draining
# The caller set the deadline, so its passing says nothing about the owner.
_NOT_A_FAULT = frozenset((
    states.RefusalReason.DEADLINE_PASSED,
    states.RefusalReason.CANCELLED,
))


class Router(task.Task):
    """Owns the calls under way at the ingress and the snapshot in use.

    Parameters
    ----------
    hello : Hello
        Instance, run, region and data centre of this node.
    links, owner : Task
        Take calls for other nodes and for the local backend server.
    clock : callable
        Returns seconds on the monotonic clock.
    reporter : CallReporter
        Counts and records what callers were told.
    random : Random
        Source of random numbers for the choice of owners.
    """

    def __init__(
        self,
        *,
        hello: messages.Hello,
        links: task.Task,
        owner: task.Task,
        clock: Callable[[], float],
        reporter: ingress.CallReporter,
        random: random_module.Random,
    ) -> None:
        super().__init__(name='router')
        self.listener: task.Task | None = None
        self.lifecycle: task.Task | None = None
        self.alarm: alarm.Alarm | None = None
        self.calls = ingress.IngressCalls()
        self.incarnations = ingress.KnownIncarnations(hello=hello)
        self.chooser = routing.Chooser(
            instance=hello.instance,
            observations=routing.Observations(),
            random=random,
        )
        self.table = ingress.RoutingTable(
            place=routing.Location(
                instance=hello.instance,
                region=hello.region,
                data_centre=hello.data_centre,
            ),
        )
        self.sender = ingress.CallSender(
            instance=hello.instance,
            links=links,
            owner=owner,
        )
        self.key_issuer = ingress.KeyIssuer(
            incarnations=self.incarnations,
            table=self.table,
            sender=self.sender,
            reporter=reporter,
            answer=self.answer,
        )
        self.front = ingress.Front()
        self.draining = False
        self.drain = events.DrainRequested()
        self.clock = clock
        self.reporter = reporter

    def start(self, *, reactor: interfaces.IReactorTime) -> None:
        """Begin to watch the deadlines of calls."""
        self.alarm = alarm.Alarm(
            reactor=reactor,
            clock=self.clock,
            target=self,
        )
        self.wake()

    def receive(self, message: object) -> None:
        """Handle one message."""
        self.calls.owed = None
        if isinstance(message, events.RequestReceived):
            self.calls.owed = message
        try:
            _handle(message, self)
        except Exception:
            owed = self.calls.owed
            if owed is not None:
                self.calls.finish_caller(owed.caller)
                self.refuse_request(owed, states.RefusalReason.INTERNAL_ERROR)
            raise
        if self.draining:
            self._report_if_finished()

    def request_id(self, message: events.RequestReceived) -> str:
        """Return the id that the caller gave a request, or nothing."""
        return self.front.names.request_id_of(message.headers)

    def observe(self, event: object) -> None:
        """Update the observations of owners."""
        routing.observe(event, self.chooser.observations, self.clock())

    def observe_node(self, event: _NodeEvent) -> None:
        """Update the observations of all backend servers beside a node."""
        for instance in self.table.instances_at(event.instance):
            self.observe(dataclasses.replace(event, instance=instance))

    def refuse_request(
        self,
        message: events.RequestReceived | events.RequestRejected,
        reason: states.RefusalReason,
    ) -> None:
        """Refuse a request that did not become a call."""
        answer = ingress.with_return(
            ingress.refusal(caller=message.caller, reason=reason),
            reason,
            self.front,
            self.chooser.random,
        )
        request_id = ''
        if isinstance(message, events.RequestReceived):
            request_id = self.request_id(message)
        self.reporter.record_refusal(message, answer, reason, request_id)
        self.answer(answer, request_id)

    def attempt(self, call: ingress.IngressCall) -> None:
        """Choose an owner and send it the call."""
        now = self.clock()
        wanted = ingress.wanted_owner(
            call.parameters.key,
            call,
            self.table,
            self.incarnations,
        )
        found = routing.choose(wanted, self.chooser, now)
        if isinstance(found, routing.ChoiceRefused):
            self.tell_refusal(call, found.reason, final=False)
            return
        self.send(call, found.backend)

    def send(
        self,
        call: ingress.IngressCall,
        backend: replica.InstanceRecord,
    ) -> None:
        """Send a call to the owner of a backend server."""
        now = self.clock()
        call.instance = backend.instance
        call.node = backend.node_name
        call.tried = (*call.tried, call.instance)
        call.generation = self.table.generation
        call.sent_at = now
        self.calls.add(call)
        self.observe(routing.CallSent(instance=call.instance))
        if self.alarm is not None:
            self.alarm.wake_at(call.deadline)
        live = len(self.table.candidates(call.service).live)
        last = len(call.tried) >= min(live, _OWNERS_ASKED)
        request = ingress.call_request(
            call,
            self.front,
            last=last,
            round_trip_s=routing.ROUND_TRIP_S[self.table.zone_of(backend)],
        )
        self.sender.send(backend, request)
        self.calls.owed = None

    def finish(self, call_id: ids.CallId) -> ingress.IngressCall | None:
        """Forget an attempt; count a result that belongs to none."""
        call = self.calls.finish(call_id)
        if call is None:
            self.reporter.count(states.DroppedMessage.NO_CALL_AT_INGRESS)
        return call

    def fail(self, call: ingress.IngressCall, failure: _Failure) -> None:
        """Attempt a failed call again, or tell its caller."""
        now = self.clock()
        if not routing.is_unsent(failure):
            call.sends += 1
        other = routing.choose(
            routing.AnyOwnerWanted(
                candidates=self.table.candidates(call.service),
                excluded=call.tried,
                due=call.parameters.due,
                route=call.route.name,
            ),
            self.chooser,
            now,
        )
        decision = routing.decide_retry(
            failure,
            self._tried(call, other, now),
            self.chooser.budgets.of(call.service),
            now,
        )
        if isinstance(decision, routing.RetryDenied):
            self.reporter.retried(call, decision.denial)
            _give_up(failure, call, self)
            return
        self.reporter.retried(call, decision.reason)
        if isinstance(other, routing.OwnerChosen):
            self.send(call, other.backend)
        else:
            self.attempt(call)

    def tell_answer(
        self,
        call: ingress.IngressCall,
        message: messages.CallAnswered,
    ) -> None:
        """Give the caller of a call the answer of a backend server."""
        self.sender.note_relayed(call.node, message)
        answer = ingress.answer(caller=call.caller, message=message)
        self.reporter.told(call, answer, states.Outcome.RUN, None)
        self.answer(answer, call.request_id)

    def tell_refusal(
        self,
        call: ingress.IngressCall,
        reason: states.RefusalReason,
        *,
        final: bool,
        link_wait: float = 0,
    ) -> None:
        """Tell the caller of a call that it was not run."""
        unreachable = reason is states.RefusalReason.OWNER_UNREACHABLE
        if unreachable and isinstance(call.parameters.key, keys.BoundKey):
            reason = states.RefusalReason.KEY_HOME_LOST
        answer = ingress.refusal(
            caller=call.caller,
            reason=reason,
            keyed=call.parameters.key is not None,
            final=final,
        )
        answer = ingress.with_return(
            answer,
            reason,
            self.front,
            self.chooser.random,
            link_wait=link_wait,
        )
        outcome = ingress.refusal_outcome(reason)
        self.reporter.told(call, answer, outcome, reason)
        self.answer(answer, call.request_id)

    def tell_unknown(
        self,
        call: ingress.IngressCall,
        reason: states.RefusalReason,
    ) -> None:
        """Tell the caller of a call that its outcome is not known."""
        answer = ingress.unknown(caller=call.caller, reason=reason)
        self.reporter.told(call, answer, states.Outcome.UNKNOWN, reason)
        self.answer(answer, call.request_id)

    def answer(
        self,
        message: events.AnswerReady,
        request_id: str = '',
    ) -> None:
        """Give the listener an answer."""
        self.calls.owed = None
        if self.listener is not None:
            self.listener.post(
                dataclasses.replace(
                    message,
                    close=message.close or self.draining,
                    request_id=request_id,
                ),
            )

    def wake(self) -> None:
        """Ask for the next tick."""
        if self.alarm is None:
            return
        now = self.clock()
        wanted = min(self.calls.next_deadline(), now + _HOUSEKEEPING_S)
        if now < self.drain.refuse_at:
            wanted = min(wanted, self.drain.refuse_at)
        self.alarm.wake_at(wanted)

    def _tried(
        self,
        call: ingress.IngressCall,
        other: routing.OwnerChosen | routing.ChoiceRefused,
        now: float,
    ) -> routing.Attempt:
        chosen = isinstance(other, routing.OwnerChosen)
        return routing.Attempt(
            idempotent=call.parameters.idempotent,
            keyed=call.parameters.key is not None,
            retries=len(call.tried) - 1,
            deadline=call.parameters.deadline,
            expected_time=(
                routing.expected_time(
                    other.backend,
                    self.chooser,
                    now,
                    route=call.route.name,
                )
                if isinstance(other, routing.OwnerChosen)
                else 0
            ),
            other_backend=chosen,
            newer_snapshot=self.table.generation > call.generation,
            sends=call.sends,
            max_sends=call.route.parameters.attempts,
        )

    def _report_if_finished(self) -> None:
        if len(self.calls) or len(self.incarnations) or self.lifecycle is None:
            return
        if self.clock() < self.drain.refuse_at:
            return
        lifecycle = self.lifecycle
        # Reported once; refusing a request after that is not work.
        self.lifecycle = None
        lifecycle.post(events.WorkFinished(part=states.NodePart.ROUTER))


@functools.singledispatch
def _give_up(
    failure: object,
    call: ingress.IngressCall,
    router: Router,
) -> None:
    raise TypeError(f'unexpected failure {type(failure).__name__}')


@_give_up.register
def _tell_refused(
    failure: messages.CallRefused,
    call: ingress.IngressCall,
    router: Router,
) -> None:
    link_wait = 0 if failure.load is None else failure.load.link_wait
    router.tell_refusal(
        call,
        failure.reason,
        final=True,
        link_wait=link_wait,
    )


@_give_up.register
def _tell_unknown(
    failure: messages.CallUnknown,
    call: ingress.IngressCall,
    router: Router,
) -> None:
    router.tell_unknown(call, failure.reason)


@_give_up.register
def _tell_answer(
    failure: messages.CallAnswered,
    call: ingress.IngressCall,
    router: Router,
) -> None:
    router.tell_answer(call, failure)


@functools.singledispatch
def _handle(message: object, router: Router) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _replaced(message: events.SnapshotReplaced, router: Router) -> None:
    router.table.replace(message.snapshot)
    router.chooser.turns.keep_only(message.snapshot)
    router.chooser.budgets.keep_only(message.snapshot)
    router.chooser.observations.forget_except(router.table.instances())
    router.wake()


@_handle.register
def _rejected(message: events.RequestRejected, router: Router) -> None:
    router.refuse_request(message, message.reason)


@_handle.register
def _received(message: events.RequestReceived, router: Router) -> None:
    now = router.clock()
    if router.draining and now >= router.drain.refuse_at:
        router.refuse_request(message, states.RefusalReason.DRAINING)
        return
    opened = ingress.open_call(message, router.table, router.chooser.turns, now)
    if isinstance(opened, routing.ChoiceRefused):
        router.refuse_request(message, opened.reason)
    elif isinstance(opened, ingress.KeyWanted):
        router.key_issuer.request(opened, router.chooser, now)
    else:
        opened.request_id = router.request_id(message)
        if router.draining:
            opened.end_by(router.drain.answer_by)
        router.chooser.budgets.of(opened.service).count_first_attempt()
        router.attempt(opened)


@_handle.register
def _gone(message: events.CallerGone, router: Router) -> None:
    router.incarnations.withdraw(message.caller)
    call = router.calls.finish_caller(message.caller)
    router.calls.owed = None
    if call is not None:
        router.reporter.unanswered(call, states.Unanswered.CALLER_GONE)
        router.observe(routing.CallWithdrawn(instance=call.instance))
        router.sender.cancel(call.node, call.call_id)


@_handle.register
def _answered(message: messages.CallAnswered, router: Router) -> None:
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
        router.fail(call, message)
    else:
        router.tell_answer(call, message)


@_handle.register
def _refused(message: messages.CallRefused, router: Router) -> None:
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
    router.fail(call, message)


@_handle.register
def _unknown(message: messages.CallUnknown, router: Router) -> None:
    call = router.finish(message.call_id)
    if call is None:
        return
    if message.reason in _NOT_A_FAULT:
        router.observe(routing.CallWithdrawn(instance=call.instance))
    else:
        router.observe(routing.LossObserved(instance=call.instance))
    router.fail(call, message)


@_handle.register
def _expired(message: events.CallExpired, router: Router) -> None:
    call = router.calls.finish(message.call_id)
    if call is not None:
        router.observe(routing.LossObserved(instance=call.instance))
        reason = states.RefusalReason.DEADLINE_PASSED
        if router.clock() >= router.drain.answer_by:
            reason = states.RefusalReason.DRAINING
        router.tell_unknown(call, reason)


@_handle.register
def _ticked(message: events.Tick, router: Router) -> None:
    router.observe(message)
    for call in router.calls.expired(message.now):
        # A call that was not sent yet is refused before it expires below.
        router.sender.cancel(call.node, call.call_id, expired=True)
        router.post(events.CallExpired(call_id=call.call_id))
    router.key_issuer.expire(message.now)
    router.wake()


@_handle.register
def _greeted(message: events.PeerGreeted, router: Router) -> None:
    router.observe_node(message)
    router.key_issuer.greet(message)


@_handle.register
def _peer_lost(message: events.PeerLost, router: Router) -> None:
    router.observe_node(message)
    router.key_issuer.lose(message, router.chooser)


@_handle.register
def _peer_drains(message: messages.Draining, router: Router) -> None:
    router.observe_node(message)


@_handle.register
def _state_changed(message: events.LifecycleChanged, router: Router) -> None:
    if message.state is not states.NodeState.STOPPED:
        return
    # The process ends with these calls open, so nothing else tells of them.
    for call in router.calls:
        router.calls.finish(call.call_id)
        router.reporter.unanswered(call, states.Unanswered.NODE_STOPPED)


@_handle.register
def _drain(message: events.DrainRequested, router: Router) -> None:
    router.draining = True
    router.drain = message
    router.calls.end_by(message.answer_by)
    router.wake()
