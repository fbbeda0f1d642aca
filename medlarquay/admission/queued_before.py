"""Selection of the queued requests that start before a new one."""

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
    """Return the queued requests of a rank that start before a new one.

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
    new_key = next_work.sort_key(work, now)
    return [
        other
        for other in state.queues[rank].values()
        if next_work.sort_key(other, now) <= new_key
    ]
