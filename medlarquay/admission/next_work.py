"""Choice among the queued requests of one rank."""

import math
from collections.abc import Iterable

from medlarquay.admission import queued_work

__all__ = ('Place', 'next_work', 'place_of')

# Whether the request is late, and when it is due; the smallest starts first.
Place = tuple[bool, float]


def next_work(
    queue: Iterable[queued_work.QueuedWork],
    now: float,
) -> queued_work.QueuedWork:
    """Return the request that is to start next.

    Parameters
    ----------
    queue : iterable of QueuedWork
        Queued requests of one rank, at least one.
    now : float
        Seconds on the monotonic clock.

    Notes
    -----
    The earliest due goes first among those that can still be answered when
    due. In an overload, the plain order by due time serves each request just
    too late; here the late ones wait for the end of the peak. With the mean
    service time the order starts each request just before its due time less
    the mean, so that every second answer is late; hence a time that few
    requests exceed.
    """
    return min(queue, key=lambda work: place_of(work, now))


def place_of(work: queued_work.QueuedWork, now: float) -> Place:
    """Return the place of a request among those of its rank."""
    if work.deadline <= now:
        # Taken out at once, since it is refused.
        return False, -math.inf
    return work.due < now + work.service, work.due
