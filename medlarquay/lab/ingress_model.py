"""The node at which callers send their requests."""

import collections
import functools
import random
from collections.abc import Mapping

from medlarquay import events, ids, messages, replica, routing
from medlarquay.lab import (
    decide,
    event_queue,
    lab_call,
    lab_result,
    owner_model,
    scenario,
    server,
)

__all__ = ('IngressModel',)

_Answer = messages.CallAnswered | messages.CallRefused

# Owners that the product's ingress asks.
_OWNERS_ASKED = 3
# The share of 58 that one of 18 nodes may save.
_BURST = 3


class IngressModel:
    """Choice of owners, retries and observations of one ingress.

    Parameters
    ----------
    own : Server
        Backend server beside this node.
    world : Scenario
        Delays of the links.
    policy : ProductPolicy or PlainPolicy
        Chooses the owners.
    time : EventQueue
        Simulated time.
    random : Random
        Source of random numbers for the choice.
    """

    def __init__(
        self,
        *,
        own: server.Server,
        world: scenario.Scenario,
        policy: object,
        time: event_queue.EventQueue,
        random: random.Random,
    ) -> None:
        self.owners: Mapping[ids.InstanceId, owner_model.OwnerModel] = {}
        self.servers: Mapping[ids.InstanceId, server.Server] = {}
        self.candidates: Mapping[str, routing.Candidates] = {}
        self.ended: list[lab_result.LabResult] = []
        self._own = own
        self._world = world
        self._policy = policy
        self._time = time
        self._chooser = routing.RoutingState(
            instance=ids.InstanceId(own.name),
            observations=routing.Observations(),
            random=random,
        )
        self._budgets: dict[str, routing.RetryBudget] = collections.defaultdict(
            lambda: routing.RetryBudget(burst=_BURST)
        )

    def receive(self, call: lab_call.LabCall) -> None:
        """Take a request of a caller."""
        self._budgets[call.kind.service].count_first_attempt()
        chosen = self._choose(call)
        if chosen is None:
            self._end(call, answered=False)
        else:
            self._send(call, chosen)

    def observe(
        self,
        event: messages.Draining | events.PeerLost,
    ) -> None:
        """Take what the link to a node tells."""
        routing.observe(event, self._chooser.observations, self._time.now)

    def take_answer(
        self,
        call: lab_call.LabCall,
        answer: messages.CallAnswered,
    ) -> None:
        """Give the caller an answer, or ask another owner."""
        now = self._time.now
        routing.observe(
            routing.AnswerObserved(
                instance=call.tried[-1],
                latency=now - call.attempt_at,
                load=answer.load,
                failed=answer.failed,
            ),
            self._chooser.observations,
            now,
        )
        if answer.failed:
            self._fail(call, answer)
        else:
            self._end(call, answered=True)

    def take_refusal(
        self,
        call: lab_call.LabCall,
        answer: messages.CallRefused,
    ) -> None:
        """Ask another owner, or refuse the request."""
        routing.observe(
            routing.RefusalObserved(
                instance=call.tried[-1],
                reason=answer.reason,
                load=answer.load,
            ),
            self._chooser.observations,
            self._time.now,
        )
        self._fail(call, answer)

    def _choose(
        self,
        call: lab_call.LabCall,
    ) -> replica.InstanceRecord | None:
        wanted = routing.AnyOwnerQuery(
            candidates=self.candidates[call.kind.service],
            excluded=tuple(call.tried),
            due=call.due,
        )
        return decide.choose_backend(
            self._policy,
            wanted,
            self._chooser,
            self._time.now,
        )

    def _send(
        self,
        call: lab_call.LabCall,
        backend: replica.InstanceRecord,
    ) -> None:
        now = self._time.now
        instance = backend.instance
        call.tried.append(instance)
        call.target = self.servers[instance]
        call.attempt_at = now
        routing.observe(
            routing.CallSent(instance=instance),
            self._chooser.observations,
            now,
        )
        live = len(self.candidates[call.kind.service].live)
        last = len(call.tried) >= min(live, _OWNERS_ASKED)
        delay = self._world.delay(self._own, call.target)
        owner = self.owners[instance]
        reply = functools.partial(self._reply, call, delay)
        arrive = functools.partial(
            owner.receive,
            call,
            reply,
            last=last,
            delay=delay,
        )
        self._time.add(now + delay, arrive)

    def _reply(
        self,
        call: lab_call.LabCall,
        delay: float,
        answer: _Answer,
    ) -> None:
        take = functools.partial(_take, answer, call, self)
        self._time.add(self._time.now + delay, take)

    def _fail(self, call: lab_call.LabCall, answer: _Answer) -> None:
        now = self._time.now
        other = self._choose(call)
        expected: float = 0
        if other is not None:
            expected = routing.expected_time(
                other,
                self._chooser,
                now,
                route=ids.RouteName(call.kind.name),
            )
        decision = routing.decide_retry(
            answer,
            routing.RetryContext(
                idempotent=call.kind.idempotent,
                keyed=False,
                retries=len(call.tried) - 1,
                deadline=call.deadline,
                expected_time=expected,
                other_backend=other is not None,
                newer_snapshot=False,
            ),
            self._budgets[call.kind.service],
            now,
        )
        if other is None or isinstance(decision, routing.RetryDenied):
            self._end(call, answered=False)
        else:
            self._send(call, other)

    def _end(self, call: lab_call.LabCall, *, answered: bool) -> None:
        self.ended.append(
            lab_result.LabResult(
                kind=call.kind,
                sent_at=call.sent_at,
                answered_at=self._time.now if answered else None,
                runs=call.runs,
            ),
        )


@functools.singledispatch
def _take(
    answer: object,
    call: lab_call.LabCall,
    ingress: IngressModel,
) -> None:
    raise TypeError(f'unexpected answer {type(answer).__name__}')


@_take.register
def _take_answer(
    answer: messages.CallAnswered,
    call: lab_call.LabCall,
    ingress: IngressModel,
) -> None:
    ingress.take_answer(call, answer)


@_take.register
def _take_refusal(
    answer: messages.CallRefused,
    call: lab_call.LabCall,
    ingress: IngressModel,
) -> None:
    ingress.take_refusal(call, answer)
