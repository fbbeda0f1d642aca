"""Queued requests that start before a new one."""

from collections.abc import Sequence

from medlarquay import states
from medlarquay.admission import admission, next_work, queued_work

__all__ = ('queued_before',)


def queued_before(
    state: admission.Admission,
    work: queued_work.QueuedWork,
    rank: states.Rank,
    now: float,
) -> Sequence[queued_work.QueuedWork]:
    """Return the queued requests of its rank that start before a new one."""
    place = next_work.place_of(work, now)
    return [
        other
        for other in state.queues[rank].values()
        if next_work.place_of(other, now) <= place
    ]
