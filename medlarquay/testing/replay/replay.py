"""Replay of requests against an admission policy."""

import heapq
import math
from collections.abc import Iterable

from medlarquay import admission, ids, states
from medlarquay.testing.replay import apply, replay_request, replay_result

__all__ = ('replay',)


def replay(
    requests: Iterable[replay_request.ReplayRequest],
    policy: object,
) -> list[replay_result.ReplayResult]:
    """Run requests against a policy until the last has finished.

    Parameters
    ----------
    requests : iterable of ReplayRequest
        Requests in any order.
    policy : Admission or Fifo
        Fresh policy.

    Returns
    -------
    list of ReplayResult
        In order of their end.
    """
    return _Replay(requests, policy).run()


class _Replay:
    def __init__(
        self,
        requests: Iterable[replay_request.ReplayRequest],
        policy: object,
    ) -> None:
        self._policy = policy
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
            )
            self._add(request.arrives_at, arrived)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            self._handle(event, now)
        return self._ended

    def _handle(self, event: object, now: float) -> None:
        if isinstance(event, admission.Finished):
            self._end(event.exchange, finished_at=now)
        if isinstance(event, admission.ClockChecked):
            self._check_at = math.inf
        for decision in apply.apply_event(self._policy, event, now):
            if isinstance(decision, admission.Refuse):
                self._end(decision.exchange, reason=decision.reason)
            else:
                exchange = decision.exchange
                service = self._requests[exchange].service
                self._add(now + service, admission.Finished(exchange=exchange))
        due = apply.check_due(self._policy, now)
        if due < self._check_at:
            self._check_at = due
            self._add(due, admission.ClockChecked())

    def _add(self, when: float, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, event))

    def _end(
        self,
        exchange: ids.ExchangeId,
        *,
        finished_at: float | None = None,
        reason: states.RefusalReason | None = None,
    ) -> None:
        self._ended.append(
            replay_result.ReplayResult(
                request=self._requests[exchange],
                finished_at=finished_at,
                reason=reason,
            ),
        )
