"""Expected end of a request."""

import dataclasses
import math

from medlarquay import states
from medlarquay.admission import (
    admission,
    expected_wait,
    link_room,
    queued_before,
    queued_work,
)

__all__ = ('ExpectedEnd', 'expected_end')


# Sizes of single answers vary; few sums of answers exceed their mean by more
# than this number of mean deviations.
_DEVIATIONS = 3


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
    full = len(state.running) >= state.limit.usable(now)
    wait: float = 0
    if full:
        wait = expected_wait.expected_wait(state, work, rank, now)
    if not full and link_room.has_room(state, work, now):
        # A free slot costs nothing, so an even chance is worth a try.
        service = state.times.of_route(rank, work.route)
        return ExpectedEnd(
            answered_at=now + service + work.transfer,
            waits=False,
            link_bound=False,
        )
    link_free_at = now
    if work.large:
        link_free_at = _link_free_at(state, work, rank, now)
    return ExpectedEnd(
        answered_at=work.answered_at(now + wait, link_free_at),
        waits=True,
        link_bound=work.large and link_free_at > now + wait + work.service,
    )


def _link_free_at(
    state: admission.Admission,
    work: queued_work.QueuedWork,
    rank: states.Rank,
    now: float,
) -> float:
    """Return when the large answers that go first have left the link."""
    before = list(queued_before.queued_before(state, work, rank, now))
    for other in states.Rank:
        if other is rank:
            break
        before.extend(state.queues[other].values())
    sizes = state.answer_bytes
    routes = [queued.route for queued in before if queued.large]
    expected = sum(sizes.mean(route) for route in routes)
    routes.append(work.route)
    squares = sum(sizes.deviation(route) ** 2 for route in routes)
    caution = _DEVIATIONS * math.sqrt(squares)
    return state.link_free_at(now) + state.link.time_of(expected + caution)
