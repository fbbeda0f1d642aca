"""Estimate of when a new request is answered."""

import dataclasses
import math

from medlarquay import states
from medlarquay.admission import (
    admission,
    expected_wait,
    queued_before,
    queued_work,
)

__all__ = ('ExpectedEnd', 'expected_end')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedEnd:
    """Estimate of when a new request is answered.

    Attributes
    ----------
    answered_at : float
        Expected time at which the answer has left, seconds on the monotonic
        clock.
    waits : bool
        Whether the request or its answer has to wait: no slot is free, or the
        link is busy.
    link_bound : bool
        Whether the answer has to wait for the link.
    """

    answered_at: float
    waits: bool
    link_bound: bool


def expected_end(
    state: admission.Admission,
    work: queued_work.QueuedWork,
    rank: states.Rank,
    now: float,
) -> ExpectedEnd:
    """Estimate when a new request is answered.

    Parameters
    ----------
    state : Admission
        State with the time advanced.
    work : QueuedWork
        New request, not queued yet.
    rank : Rank
        Rank of the request.
    now : float
        Seconds on the monotonic clock.
    """
    start_at = now
    full = len(state.running) >= state.slot_limit.usable(now)
    if full:
        start_at += expected_wait.expected_wait(state, work, rank, now)
    link_free_at = now
    if work.large:
        link_free_at = _link_free_at(state, work, rank, now)
    link_bound = link_free_at > start_at + work.service
    if full or link_bound:
        answered_at = work.answered_at(start_at, link_free_at)
    else:
        # Nothing waits for the slot, so a request with an even chance to be
        # in time is tried: the mean counts here, not the upper estimate.
        service = state.service_times.route_mean(rank, work.route)
        answered_at = now + service + work.transfer
    return ExpectedEnd(
        answered_at=answered_at,
        waits=full or link_bound,
        link_bound=link_bound,
    )


def _link_free_at(
    state: admission.Admission,
    work: queued_work.QueuedWork,
    rank: states.Rank,
    now: float,
) -> float:
    """Return when the link will have sent the large answers ahead."""
    before = list(queued_before.queued_before(state, work, rank, now))
    for other in rank.at_or_above()[:-1]:
        before.extend(state.queues[other].values())
    sizes = state.answer_bytes
    routes = [queued.route for queued in before if queued.large]
    expected = state.link.transfer_time(
        sum(sizes.mean(route) for route in routes)
    )
    free_at = state.link_free_at(rank, now) + expected
    if free_at <= now:
        return now
    # Safety margin for varying answer sizes: the deviation of a sum is the
    # root of the sum of the squared deviations.
    variance = sum(
        sizes.deviation(route) ** 2 for route in (*routes, work.route)
    )
    return free_at + state.link.transfer_time(math.sqrt(variance))
