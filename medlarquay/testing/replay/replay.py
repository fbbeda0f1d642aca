"""Replay of requests against an admission policy."""

import functools
import heapq
import math
from collections.abc import Iterable

from medlarquay import admission, ids, pacing, states
from medlarquay.testing.replay import (
    apply,
    caller_left,
    link_due,
    replay_link,
    replay_request,
    replay_result,
)

__all__ = ('replay',)


def replay(
    requests: Iterable[replay_request.ReplayRequest],
    policy: object,
    *,
    link_bytes_per_s: float = math.inf,
) -> list[replay_result.ReplayResult]:
    """Run requests against a policy until the last has finished.

    Parameters
    ----------
    requests : iterable of ReplayRequest
        Requests in any order.
    policy : Admission or Fifo
        Policy in its initial state.
    link_bytes_per_s : float
        Bandwidth that the pacing leaves for answers.

    Returns
    -------
    list of ReplayResult
        Results in the order in which the requests ended.
    """
    link = replay_link.ReplayLink(bytes_per_s=link_bytes_per_s)
    return _Replay(requests, policy, link).run()


class _Replay:
    def __init__(
        self,
        requests: Iterable[replay_request.ReplayRequest],
        policy: object,
        link: replay_link.ReplayLink,
    ) -> None:
        self.link = link
        # Requests without a result.
        self.open_requests = {
            ids.ExchangeId(number): request
            for number, request in enumerate(requests, start=1)
        }
        self._policy = policy
        self._events: list[tuple[float, int, object]] = []
        self._sequence = 0
        self._next_check_at = math.inf
        self._next_link_due_at = math.inf
        self._backlog_reporter = pacing.BacklogReporter()
        self._ended_requests: list[replay_result.ReplayResult] = []

    def run(self) -> list[replay_result.ReplayResult]:
        """Handle all events in chronological order."""
        for exchange, request in self.open_requests.items():
            arrived = admission.RequestArrived(
                exchange=exchange,
                rank=request.rank,
                deadline=request.deadline,
                due=request.due,
                last_attempt=request.last_attempt,
                route=request.route,
                local=request.local,
            )
            self._push_event(request.arrives_at, arrived)
            if request.leaves_at < math.inf:
                left = caller_left.CallerLeft(exchange=exchange)
                self._push_event(request.leaves_at, left)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            _handle(event, self, now)
            self._advance_link(now)
            self._schedule_check(now)
        return self._ended_requests

    def apply_event(self, event: object, now: float) -> None:
        """Apply an event to the policy and execute its decisions."""
        self.execute(self.decide(event, now), now)

    def decide(self, event: object, now: float) -> admission.Decisions:
        """Apply an event to the policy and return its decisions."""
        return apply.apply_event(self._policy, event, now)

    def execute(self, decisions: admission.Decisions, now: float) -> None:
        """Execute decisions: start and refuse requests."""
        for decision in decisions:
            if isinstance(decision, admission.Refuse):
                self.record_result(
                    decision.exchange, now=now, reason=decision.reason
                )
            else:
                self._start(decision.exchange, now)

    def record_result(
        self,
        exchange: ids.ExchangeId,
        *,
        now: float,
        finished_at: float | None = None,
        reason: states.RefusalReason | None = None,
    ) -> None:
        """Record the result of a request."""
        self._ended_requests.append(
            replay_result.ReplayResult(
                request=self.open_requests.pop(exchange),
                ended_at=now if finished_at is None else finished_at,
                finished_at=finished_at,
                reason=reason,
            ),
        )

    def check(self, now: float) -> None:
        """Let the policy check its deadlines."""
        self._next_check_at = math.inf
        self.apply_event(admission.CheckDue(), now)

    def _start(self, exchange: ids.ExchangeId, now: float) -> None:
        request = self.open_requests[exchange]
        finished = admission.RequestFinished(
            exchange=exchange,
            answer_bytes=request.answer_bytes,
            link_bytes=0 if request.local else request.answer_bytes,
        )
        self._push_event(now + request.service_s, finished)

    def _advance_link(self, now: float) -> None:
        departures, next_advance_at = self.link.advance(now)
        for entry in departures:
            reason = None
            if entry.left_at is None:
                reason = states.RefusalReason.DEADLINE_PASSED
            self.record_result(
                entry.exchange,
                now=now,
                finished_at=entry.left_at,
                reason=reason,
            )
        free_at = self.link.schedule.free_at(now)
        if self._backlog_reporter.should_report(free_at, now):
            self.apply_event(admission.LinkBacklogChanged(free_at=free_at), now)
        if (
            self._next_link_due_at <= now
            or next_advance_at < self._next_link_due_at
        ):
            self._next_link_due_at = next_advance_at
            if next_advance_at < math.inf:
                self._push_event(next_advance_at, link_due.LinkDue())

    def _schedule_check(self, now: float) -> None:
        due = apply.next_check_at(self._policy, now)
        if due < self._next_check_at:
            self._next_check_at = due
            self._push_event(due, admission.CheckDue())

    def _push_event(self, when: float, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, event))


@functools.singledispatch
def _handle(event: object, replayed: _Replay, now: float) -> None:
    raise TypeError(f'unexpected event {type(event).__name__}')


@_handle.register
def _handle_arrival(
    event: admission.RequestArrived,
    replayed: _Replay,
    now: float,
) -> None:
    replayed.apply_event(event, now)


@_handle.register
def _handle_check(
    event: admission.CheckDue,
    replayed: _Replay,
    now: float,
) -> None:
    replayed.check(now)


@_handle.register
def _handle_finish(
    event: admission.RequestFinished,
    replayed: _Replay,
    now: float,
) -> None:
    request = replayed.open_requests.get(event.exchange)
    if request is None:
        return
    decisions = replayed.decide(event, now)
    departed = replayed.link.send(event.exchange, request, now)
    if departed is not None:
        replayed.record_result(
            event.exchange, now=now, finished_at=departed.left_at
        )
    replayed.execute(decisions, now)


@_handle.register
def _handle_caller_left(
    event: caller_left.CallerLeft,
    replayed: _Replay,
    now: float,
) -> None:
    if event.exchange in replayed.open_requests:
        replayed.record_result(event.exchange, now=now)
        replayed.link.withdraw(event.exchange)
        replayed.apply_event(
            admission.RequestCancelled(exchange=event.exchange), now
        )


@_handle.register
def _handle_link_due(
    event: link_due.LinkDue,
    replayed: _Replay,
    now: float,
) -> None:
    """Do nothing: the link advances after each event."""
