"""Expected end of a request."""

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
    """Expected end of a request.

    Attributes
    ----------
    answered_at : float
        When its answer has left, seconds on the monotonic clock.
    waits : bool
        Whether it does not start at once.
    link_bound : bool
        Whether its answer waits for the link.
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
    """Return the expected end of a new request."""
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
        # A free slot costs nothing, so an even chance is worth a try.
        service = state.times.of_route(rank, work.route)
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
    """Return when the large answers that go first have left the link."""
    before = list(queued_before.queued_before(state, work, rank, now))
    for other in rank.up_to()[:-1]:
        before.extend(state.queues[other].values())
    sizes = state.answer_bytes
    routes = [queued.route for queued in before if queued.large]
    expected = state.link.time_of(sum(sizes.mean(route) for route in routes))
    free_at = state.link_free_at(rank, now) + expected
    if free_at <= now:
        return now
    # The sizes of single answers vary; a sum of them varies by the root of
    # the sum of the squares.
    squares = sum(
        sizes.deviation(route) ** 2 for route in (*routes, work.route)
    )
    return free_at + state.link.time_of(math.sqrt(squares))
