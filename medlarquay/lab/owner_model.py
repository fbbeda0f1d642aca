"""Model of a node in its role as owner."""

import functools
import random
from collections.abc import Callable

from medlarquay import admission, ids, messages, states
from medlarquay.lab import event_queue, lab_call, server
from medlarquay.testing import replay

__all__ = ('OwnerModel',)

_Answer = messages.CallAnswered | messages.CallRefused
_Reply = Callable[[_Answer], None]

_OK = 200
_FAILED = 500
# Required by the messages; the model finds the caller by a callback instead.
_UNUSED_CALL_ID = ids.CallId(0)


class OwnerModel:
    """Model of the admission of one owner and the runs at its backend server.

    Parameters
    ----------
    local_server : Server
        Backend server that runs the admitted requests.
    admission_policy : Admission or Fifo
        Admission queue, which decides which requests start.
    queue : EventQueue
        Queue of the simulated events.
    random : Random
        Source of random numbers that decide which runs fail.
    """

    def __init__(
        self,
        *,
        local_server: server.Server,
        admission_policy: object,
        queue: event_queue.EventQueue,
        random: random.Random,
    ) -> None:
        self._local_server = local_server
        self._admission_policy = admission_policy
        self._queue = queue
        self._random = random
        self._last_exchange = 0
        self._next_check_at: float | None = None
        self._unanswered: dict[
            ids.ExchangeId, tuple[lab_call.LabCall, _Reply]
        ] = {}

    def handle_request(
        self,
        call: lab_call.LabCall,
        reply: _Reply,
        *,
        last_attempt: bool,
        delay: float,
    ) -> None:
        """Queue a request or refuse it; the reply may come later.

        Parameters
        ----------
        call : LabCall
            Request from an ingress.
        reply : callable
            Receives the answer or the refusal.
        last_attempt : bool
            Whether the ingress will try no other owner.
        delay : float
            One-way delay in seconds from the ingress. Deadline and due time
            at the owner are earlier by as much, to leave time for the answer
            on its way back.
        """
        if self._local_server.is_drained(self._queue.now):
            reply(self._refusal(states.RefusalReason.DRAINING))
            return
        self._last_exchange += 1
        exchange = ids.ExchangeId(self._last_exchange)
        self._unanswered[exchange] = (call, reply)
        self._apply(
            admission.RequestArrived(
                exchange=exchange,
                rank=call.kind.rank,
                deadline=call.deadline - delay,
                route=ids.RouteName(call.kind.name),
                due=call.due - delay,
                last_attempt=last_attempt,
            ),
        )

    def _apply(self, event: object) -> None:
        now = self._queue.now
        for decision in replay.apply_event(self._admission_policy, event, now):
            if isinstance(decision, admission.Refuse):
                _, reply = self._unanswered.pop(decision.exchange)
                reply(self._refusal(decision.reason))
            else:
                self._start(decision.exchange)
        due = replay.next_check_at(self._admission_policy, now)
        if self._next_check_at is None or due < self._next_check_at:
            self._schedule_check(due)

    def _schedule_check(self, due: float) -> None:
        if due < float('inf'):
            self._next_check_at = due
            self._queue.add(max(due, self._queue.now), self._check)

    def _check(self) -> None:
        self._next_check_at = None
        self._apply(admission.CheckDue())

    def _start(self, exchange: ids.ExchangeId) -> None:
        call, _ = self._unanswered[exchange]
        call.runs += 1
        now = self._queue.now
        self._queue.add(
            now + self._local_server.service_time(call.work_s, now),
            functools.partial(self._finish, exchange),
        )

    def _finish(self, exchange: ids.ExchangeId) -> None:
        _, reply = self._unanswered.pop(exchange)
        self._apply(admission.RequestFinished(exchange=exchange))
        failed = self._random.random() < self._local_server.failing
        reply(
            messages.CallAnswered(
                call_id=_UNUSED_CALL_ID,
                status=_FAILED if failed else _OK,
                headers=(),
                body=b'',
                load=self._load(),
            ),
        )

    def _refusal(self, reason: states.RefusalReason) -> messages.CallRefused:
        return messages.CallRefused(
            call_id=_UNUSED_CALL_ID,
            reason=reason,
            load=self._load(),
        )

    def _load(self) -> messages.LoadState | None:
        if isinstance(self._admission_policy, admission.Admission):
            return admission.load_state(self._admission_policy, self._queue.now)
        return None
