"""The node beside one backend server."""

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
_CALL = ids.CallId(0)


class OwnerModel:
    """Admission of one owner and the runs at its backend server.

    Parameters
    ----------
    own : Server
        Backend server.
    policy : Admission or Fifo
        Decides which requests start.
    time : EventQueue
        Simulated time.
    random : Random
        Draws which runs fail.
    """

    def __init__(
        self,
        *,
        own: server.Server,
        policy: object,
        time: event_queue.EventQueue,
        random: random.Random,
    ) -> None:
        self._own = own
        self._policy = policy
        self._time = time
        self._random = random
        self._last = 0
        self._check_at: float | None = None
        self._held: dict[ids.ExchangeId, tuple[lab_call.LabCall, _Reply]] = {}

    def receive(
        self,
        call: lab_call.LabCall,
        reply: _Reply,
        *,
        last: bool,
        delay: float,
    ) -> None:
        """Take a request; answer it now or later.

        Parameters
        ----------
        call : LabCall
            Request.
        reply : callable
            Receives the answer or the refusal.
        last : bool
            Whether no other owner will be asked.
        delay : float
            Seconds for which the request travelled. The owner's times leave
            as much for the way back of its answer.
        """
        if self._own.drains(self._time.now):
            reply(self._refusal(states.RefusalReason.DRAINING))
            return
        self._last += 1
        exchange = ids.ExchangeId(self._last)
        self._held[exchange] = (call, reply)
        self._apply(
            admission.RequestArrived(
                exchange=exchange,
                rank=call.kind.rank,
                deadline=call.deadline - delay,
                route=ids.RouteName(call.kind.name),
                due=call.due - delay,
                last_attempt=last,
            ),
        )

    def _apply(self, event: object) -> None:
        now = self._time.now
        for decision in replay.apply_event(self._policy, event, now):
            if isinstance(decision, admission.Refuse):
                _, reply = self._held.pop(decision.exchange)
                reply(self._refusal(decision.reason))
            else:
                self._start(decision.exchange)
        due = replay.next_check_at(self._policy, now)
        if self._check_at is None or due < self._check_at:
            self._plan_check(due)

    def _plan_check(self, due: float) -> None:
        if due < float('inf'):
            self._check_at = due
            self._time.add(max(due, self._time.now), self._check)

    def _check(self) -> None:
        self._check_at = None
        self._apply(admission.CheckDue())

    def _start(self, exchange: ids.ExchangeId) -> None:
        call, _ = self._held[exchange]
        call.runs += 1
        now = self._time.now
        self._time.add(
            now + self._own.service_time(call.work_s, now),
            functools.partial(self._finish, exchange),
        )

    def _finish(self, exchange: ids.ExchangeId) -> None:
        _, reply = self._held.pop(exchange)
        self._apply(admission.RequestFinished(exchange=exchange))
        failed = self._random.random() < self._own.failing
        reply(
            messages.CallAnswered(
                call_id=_CALL,
                status=_FAILED if failed else _OK,
                headers=(),
                body=b'',
                load=self._load(),
            ),
        )

    def _refusal(self, reason: states.RefusalReason) -> messages.CallRefused:
        return messages.CallRefused(
            call_id=_CALL,
            reason=reason,
            load=self._load(),
        )

    def _load(self) -> messages.LoadState | None:
        if isinstance(self._policy, admission.Admission):
            return admission.load_state(self._policy, self._time.now)
        return None
