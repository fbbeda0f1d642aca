"""Replay of requests against an admission policy."""

import heapq
import math
from collections.abc import Iterable

from medlarquay import admission, ids, states
from medlarquay.testing.replay import (
    apply,
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
        What the link carries by which answers leave.

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
        self._policy = policy
        self._link = link
        self._requests = {
            ids.ExchangeId(number): request
            for number, request in enumerate(requests, start=1)
        }
        self._events: list[tuple[float, int, object]] = []
        self._sequence = 0
        self._check_at = math.inf
        self._ended: list[replay_result.ReplayResult] = []

    def run(self) -> list[replay_result.ReplayResult]:
        """Handle all events in order of time."""
        for exchange, request in self._requests.items():
            arrived = admission.Arrived(
                exchange=exchange,
                rank=request.rank,
                deadline=request.deadline,
                due=request.due,
                last=request.last,
                route=request.route,
            )
            self._add(request.arrives_at, arrived)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            self._handle(event, now)
        return self._ended

    def _handle(self, event: object, now: float) -> None:
        if isinstance(event, admission.Finished):
            left_at = self._link.send(event.answer_bytes, now)
            self._end(event.exchange, now=left_at)
        if isinstance(event, admission.ClockChecked):
            self._check_at = math.inf
        for decision in apply.apply_event(self._policy, event, now):
            if isinstance(decision, admission.Refuse):
                self._end(decision.exchange, now=now, reason=decision.reason)
            else:
                self._run(decision.exchange, now)
        due = apply.check_due(self._policy, now)
        if due < self._check_at:
            self._check_at = due
            self._add(due, admission.ClockChecked())

    def _run(self, exchange: ids.ExchangeId, now: float) -> None:
        request = self._requests[exchange]
        finished = admission.Finished(
            exchange=exchange,
            answer_bytes=request.answer_bytes,
        )
        self._add(now + request.service, finished)

    def _add(self, when: float, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, event))

    def _end(
        self,
        exchange: ids.ExchangeId,
        *,
        now: float,
        reason: states.RefusalReason | None = None,
    ) -> None:
        self._ended.append(
            replay_result.ReplayResult(
                request=self._requests[exchange],
                ended_at=now,
                finished_at=now if reason is None else None,
                reason=reason,
            ),
        )
