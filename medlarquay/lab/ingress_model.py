"""Model of a node in its role as ingress."""

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

# Attempts that the product's ingress makes for a request, each at another
# owner.
_MAX_ATTEMPTS = 3
# Burst of the retry budget of one of 18 nodes: its share of the fleet's 58.
_RETRY_BURST = 3


class IngressModel:
    """Model of the choice of owners and the retries of one ingress.

    Parameters
    ----------
    local_server : Server
        Backend server of the same instance.
    experiment : Scenario
        Scenario with the delays of the links.
    policy : ProductPolicy or PlainPolicy
        Policy that chooses the owners.
    queue : EventQueue
        Queue of the simulated events.
    random : Random
        Source of random numbers for the choice.

    Attributes
    ----------
    owners : mapping of OwnerModel
        Owners by their instance.
    servers : mapping of Server
        Backend servers by their instance.
    candidates : mapping of Candidates
        Candidate owners by service.
    call_results : list of LabResult
        Results of the requests that have ended here.
    """

    def __init__(
        self,
        *,
        local_server: server.Server,
        experiment: scenario.Scenario,
        policy: object,
        queue: event_queue.EventQueue,
        random: random.Random,
    ) -> None:
        self.owners: Mapping[ids.InstanceId, owner_model.OwnerModel] = {}
        self.servers: Mapping[ids.InstanceId, server.Server] = {}
        self.candidates: Mapping[str, routing.Candidates] = {}
        self.call_results: list[lab_result.LabResult] = []
        self._local_server = local_server
        self._experiment = experiment
        self._policy = policy
        self._queue = queue
        self._routing_state = routing.RoutingState(
            instance=ids.InstanceId(local_server.name),
            observations=routing.Observations(),
            random=random,
        )
        self._budgets: dict[str, routing.RetryBudget] = collections.defaultdict(
            lambda: routing.RetryBudget(burst=_RETRY_BURST)
        )

    def handle_request(self, call: lab_call.LabCall) -> None:
        """Send the request of a caller to a first owner."""
        self._budgets[call.kind.service].count_first_attempt()
        backend = self._choose(call)
        if backend is None:
            self._record_result(call, answered=False)
        else:
            self._send(call, backend)

    def observe(
        self,
        event: messages.Draining | events.PeerLost,
    ) -> None:
        """Update the observations with an event of the link to a node."""
        routing.observe(
            event, self._routing_state.observations, self._queue.now
        )

    def handle_answer(
        self,
        call: lab_call.LabCall,
        answer: messages.CallAnswered,
    ) -> None:
        """End the request with an answer, or retry if the run failed."""
        now = self._queue.now
        routing.observe(
            routing.AnswerObserved(
                instance=call.tried[-1],
                latency=now - call.attempt_sent_at,
                load=answer.load,
                failed=answer.failed,
            ),
            self._routing_state.observations,
            now,
        )
        if answer.failed:
            self._retry_or_end(call, answer)
        else:
            self._record_result(call, answered=True)

    def handle_refusal(
        self,
        call: lab_call.LabCall,
        answer: messages.CallRefused,
    ) -> None:
        """Retry at another owner, or end the request as refused."""
        routing.observe(
            routing.RefusalObserved(
                instance=call.tried[-1],
                reason=answer.reason,
                load=answer.load,
            ),
            self._routing_state.observations,
            self._queue.now,
        )
        self._retry_or_end(call, answer)

    def _choose(
        self,
        call: lab_call.LabCall,
    ) -> replica.InstanceRecord | None:
        query = routing.AnyOwnerQuery(
            candidates=self.candidates[call.kind.service],
            excluded=tuple(call.tried),
            due=call.due,
        )
        return decide.choose_backend(
            self._policy,
            query,
            self._routing_state,
            self._queue.now,
        )

    def _send(
        self,
        call: lab_call.LabCall,
        backend: replica.InstanceRecord,
    ) -> None:
        now = self._queue.now
        instance = backend.instance
        call.tried.append(instance)
        call.target = self.servers[instance]
        call.attempt_sent_at = now
        routing.observe(
            routing.CallSent(instance=instance),
            self._routing_state.observations,
            now,
        )
        live = len(self.candidates[call.kind.service].live)
        last_attempt = len(call.tried) >= min(live, _MAX_ATTEMPTS)
        delay = self._experiment.delay(self._local_server, call.target)
        owner = self.owners[instance]
        reply = functools.partial(self._reply, call, delay)
        deliver = functools.partial(
            owner.handle_request,
            call,
            reply,
            last_attempt=last_attempt,
            delay=delay,
        )
        self._queue.add(now + delay, deliver)

    def _reply(
        self,
        call: lab_call.LabCall,
        delay: float,
        answer: _Answer,
    ) -> None:
        deliver = functools.partial(_handle, answer, call, self)
        self._queue.add(self._queue.now + delay, deliver)

    def _retry_or_end(self, call: lab_call.LabCall, answer: _Answer) -> None:
        now = self._queue.now
        next_backend = self._choose(call)
        expected_s: float = 0
        if next_backend is not None:
            expected_s = routing.expected_time(
                next_backend,
                self._routing_state,
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
                expected_time=expected_s,
                other_backend=next_backend is not None,
                newer_snapshot=False,
            ),
            self._budgets[call.kind.service],
            now,
        )
        if next_backend is None or isinstance(decision, routing.RetryDenied):
            self._record_result(call, answered=False)
        else:
            self._send(call, next_backend)

    def _record_result(self, call: lab_call.LabCall, *, answered: bool) -> None:
        self.call_results.append(
            lab_result.LabResult(
                kind=call.kind,
                sent_at=call.sent_at,
                answered_at=self._queue.now if answered else None,
                runs=call.runs,
            ),
        )


@functools.singledispatch
def _handle(
    answer: object,
    call: lab_call.LabCall,
    ingress: IngressModel,
) -> None:
    raise TypeError(f'unexpected answer {type(answer).__name__}')


@_handle.register
def _handle_answer(
    answer: messages.CallAnswered,
    call: lab_call.LabCall,
    ingress: IngressModel,
) -> None:
    ingress.handle_answer(call, answer)


@_handle.register
def _handle_refusal(
    answer: messages.CallRefused,
    call: lab_call.LabCall,
    ingress: IngressModel,
) -> None:
    ingress.handle_refusal(call, answer)
