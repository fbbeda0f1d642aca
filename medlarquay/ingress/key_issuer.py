"""Issuing of request keys."""

from collections.abc import Callable

from medlarquay import events, ids, keys, routing, states
from medlarquay.ingress import (
    answers,
    call_reporter,
    call_sender,
    key_request,
    key_wait,
    known_incarnations,
    routing_table,
)

__all__ = ('KeyIssuer',)

# Longer than the connect timeout, so that a failed connection is reported
# before the wait ends.
_WAIT_S = 1.5


class KeyIssuer:
    """Issues request keys that are bound to an owner and its incarnation.

    If the incarnation is not known, opens a link to the owner, which sends it
    in its greeting, and lets the caller wait for it.

    Parameters
    ----------
    incarnations : KnownIncarnations
        Incarnations of owners and the callers that wait for one.
    table : RoutingTable
        Snapshot in force.
    sender : CallSender
        Opens links to owners.
    reporter : CallReporter
        Counts and records refusals; its wall clock gives the time of issue.
    answer : callable
        Receives ``AnswerReady``.
    """

    def __init__(
        self,
        *,
        incarnations: known_incarnations.KnownIncarnations,
        table: routing_table.RoutingTable,
        sender: call_sender.CallSender,
        reporter: call_reporter.CallReporter,
        answer: Callable[[events.AnswerReady], None],
    ) -> None:
        self._incarnations = incarnations
        self._table = table
        self._sender = sender
        self._reporter = reporter
        self._answer = answer

    def request(
        self,
        request: key_request.KeyRequest,
        routing_state: routing.RoutingState,
        now: float,
    ) -> None:
        """Choose an owner and issue a key that is bound to it.

        Parameters
        ----------
        request : KeyRequest
            Request for a key.
        routing_state : RoutingState
            Routing state of the ingress.
        now : float
            Seconds on the monotonic clock.
        """
        choice = routing.choose(
            routing.AnyOwnerQuery(
                candidates=self._table.candidates(request.service),
            ),
            routing_state,
            now,
        )
        if isinstance(choice, routing.ChoiceRefused):
            self._refuse(request.message, choice.reason)
            return
        instance = choice.backend.instance
        if self._issue(request.message, instance):
            return
        self._incarnations.wait(
            key_wait.KeyWait(
                message=request.message,
                service=request.service,
                instance=instance,
                deadline=now + _WAIT_S,
            ),
        )
        self._sender.open_link(choice.backend)

    def handle_greeting(self, message: events.PeerGreeted) -> None:
        """Store the incarnation of an owner; issue keys that wait for it."""
        self._incarnations.learn(message.instance, message.incarnation)
        for wait in self._incarnations.take(message.instance):
            self._issue(wait.message, wait.instance)

    def handle_link_loss(
        self, message: events.PeerLost, routing_state: routing.RoutingState
    ) -> None:
        """Remove the incarnation of an owner whose link was lost.

        Keys that wait for it are bound to the instance of this node instead,
        or refused if that does not serve the service.
        """
        self._incarnations.forget(message.instance)
        for wait in self._incarnations.take(message.instance):
            self._fall_back(wait, routing_state.instance)

    def refuse_expired(self, now: float) -> None:
        """Refuse the callers whose wait has timed out."""
        for wait in self._incarnations.take_expired(now):
            self._refuse(
                wait.message,
                states.RefusalReason.OWNER_UNREACHABLE,
            )

    def _fall_back(
        self,
        wait: key_wait.KeyWait,
        own_instance: ids.InstanceId,
    ) -> None:
        if own_instance in self._table.candidates(wait.service).live:
            self._issue(wait.message, own_instance)
            return
        self._refuse(wait.message, states.RefusalReason.OWNER_UNREACHABLE)

    def _issue(
        self,
        message: events.RequestReceived,
        instance: ids.InstanceId,
    ) -> bool:
        incarnation = self._incarnations.incarnation_of(instance)
        if incarnation is None:
            return False
        key = keys.issue_key(
            instance=instance,
            incarnation=incarnation,
            issued_at=self._reporter.wall_clock(),
        )
        self._answer(answers.issued_key(caller=message.caller, key=key))
        return True

    def _refuse(
        self,
        message: events.RequestReceived,
        reason: states.RefusalReason,
    ) -> None:
        answer = answers.refusal(caller=message.caller, reason=reason)
        self._reporter.record_refusal(message, answer, reason, self._table)
        self._answer(answer)
