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
        Fresh policy.
    link_bytes_per_s : float
        What the link by which answers leave carries of them.

    Returns
    -------
    list of ReplayResult
        In order of the end of their runs.
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
        # Requests that have not ended.
        self.waiting = {
            ids.ExchangeId(number): request
            for number, request in enumerate(requests, start=1)
        }
        self._policy = policy
        self._events: list[tuple[float, int, object]] = []
        self._sequence = 0
        self._check_at = math.inf
        self._link_at = math.inf
        self._report = pacing.BacklogReporter()
        self._ended: list[replay_result.ReplayResult] = []

    def run(self) -> list[replay_result.ReplayResult]:
        """Handle all events in order of time."""
        for exchange, request in self.waiting.items():
            arrived = admission.RequestArrived(
                exchange=exchange,
                rank=request.rank,
                deadline=request.deadline,
                due=request.due,
                last_attempt=request.last_attempt,
                route=request.route,
                local=request.local,
            )
            self._add(request.arrives_at, arrived)
            if request.leaves_at < math.inf:
                left = caller_left.CallerLeft(exchange=exchange)
                self._add(request.leaves_at, left)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            _handle(event, self, now)
            self._advance_link(now)
            self._plan_check(now)
        return self._ended

    def tell(self, event: object, now: float) -> None:
        """Give the policy an event and carry out what it decides."""
        self.carry_out(self.decide(event, now), now)

    def decide(self, event: object, now: float) -> admission.Decisions:
        """Return what the policy decides."""
        return apply.apply_event(self._policy, event, now)

    def carry_out(self, decisions: admission.Decisions, now: float) -> None:
        """Start and refuse requests."""
        for decision in decisions:
            if isinstance(decision, admission.Refuse):
                self.end(decision.exchange, now=now, reason=decision.reason)
            else:
                self._start(decision.exchange, now)

    def end(
        self,
        exchange: ids.ExchangeId,
        *,
        now: float,
        finished_at: float | None = None,
        reason: states.RefusalReason | None = None,
    ) -> None:
        """Note what became of a request."""
        self._ended.append(
            replay_result.ReplayResult(
                request=self.waiting.pop(exchange),
                ended_at=now if finished_at is None else finished_at,
                finished_at=finished_at,
                reason=reason,
            ),
        )

    def check(self, now: float) -> None:
        """Let the policy check its deadlines."""
        self._check_at = math.inf
        self.tell(admission.CheckDue(), now)

    def _start(self, exchange: ids.ExchangeId, now: float) -> None:
        request = self.waiting[exchange]
        finished = admission.RequestFinished(
            exchange=exchange,
            answer_bytes=request.answer_bytes,
            link_bytes=0 if request.local else request.answer_bytes,
        )
        self._add(now + request.service_s, finished)

    def _advance_link(self, now: float) -> None:
        gone, again_at = self.link.advance(now)
        for entry in gone:
            reason = None
            if entry.left_at is None:
                reason = states.RefusalReason.DEADLINE_PASSED
            self.end(
                entry.exchange,
                now=now,
                finished_at=entry.left_at,
                reason=reason,
            )
        free_at = self.link.schedule.free_at(now)
        if self._report.should_report(free_at, now):
            self.tell(admission.LinkBacklogChanged(free_at=free_at), now)
        if self._link_at <= now or again_at < self._link_at:
            self._link_at = again_at
            if again_at < math.inf:
                self._add(again_at, link_due.LinkDue())

    def _plan_check(self, now: float) -> None:
        due = apply.next_check_at(self._policy, now)
        if due < self._check_at:
            self._check_at = due
            self._add(due, admission.CheckDue())

    def _add(self, when: float, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, event))


@functools.singledispatch
def _handle(event: object, replayed: _Replay, now: float) -> None:
    raise TypeError(f'unexpected event {type(event).__name__}')


@_handle.register
def _arrived(
    event: admission.RequestArrived,
    replayed: _Replay,
    now: float,
) -> None:
    replayed.tell(event, now)


@_handle.register
def _checked(
    event: admission.CheckDue,
    replayed: _Replay,
    now: float,
) -> None:
    replayed.check(now)


@_handle.register
def _finished(
    event: admission.RequestFinished,
    replayed: _Replay,
    now: float,
) -> None:
    request = replayed.waiting.get(event.exchange)
    if request is None:
        return
    decisions = replayed.decide(event, now)
    gone = replayed.link.send(event.exchange, request, now)
    if gone is not None:
        replayed.end(event.exchange, now=now, finished_at=gone.left_at)
    replayed.carry_out(decisions, now)


@_handle.register
def _left(
    event: caller_left.CallerLeft,
    replayed: _Replay,
    now: float,
) -> None:
    if event.exchange in replayed.waiting:
        replayed.end(event.exchange, now=now)
        replayed.link.withdraw(event.exchange)
        replayed.tell(admission.RequestCancelled(exchange=event.exchange), now)


@_handle.register
def _link_due(
    event: link_due.LinkDue,
    replayed: _Replay,
    now: float,
) -> None:
    """Leave the fragments to what follows each event."""
