"""Order of the queued requests of one rank."""

import math
from collections.abc import Iterable

from medlarquay.admission import queued_work

__all__ = ('SortKey', 'next_work', 'sort_key')

# Whether the request is expected to be late, and its due time; the smallest
# starts first.
SortKey = tuple[bool, float]


def next_work(
    queue: Iterable[queued_work.QueuedWork],
    now: float,
) -> queued_work.QueuedWork:
    """Return the request that starts next.

    Parameters
    ----------
    queue : iterable of QueuedWork
        Queued requests of one rank, at least one.
    now : float
        Seconds on the monotonic clock.

    Notes
    -----
    Earliest due first, with requests that can't be answered by their due
    time moved to the end. In an overload, plain earliest due first starts
    each request just too late; here the late ones wait until the overload
    ends. Whether a request can still be on time is judged by a service time
    that few requests exceed: with the mean, requests start just before the
    last moment, and every second answer is late.
    """
    return min(queue, key=lambda work: sort_key(work, now))


def sort_key(work: queued_work.QueuedWork, now: float) -> SortKey:
    """Return the sort key of a request among those of its rank."""
    if work.deadline <= now:
        # First, so that the expired request is refused at once.
        return False, -math.inf
    return work.due < now + work.service, work.due
