"""State of admission at one backend server."""

import collections

from medlarquay import ids, states
from medlarquay.admission import (
    limits,
    next_work,
    queued_work,
    running_work,
    service_times,
    slot_limit,
    slot_shares,
)

__all__ = ('Admission',)


class Admission:
    """State of admission at one backend server.

    Parameters
    ----------
    bounds : Limits
        What the operators set.

    Notes
    -----
    Only ``decide`` changes the state.
    """

    def __init__(self, *, bounds: limits.Limits) -> None:
        self.bounds = bounds
        self.limit = slot_limit.SlotLimit()
        self.limit.configure(bounds.slots)
        self.shares = slot_shares.SlotShares()
        self.times = service_times.ServiceTimes()
        self.running: dict[ids.ExchangeId, running_work.RunningWork] = {}
        self.queued_ranks: dict[ids.ExchangeId, states.Rank] = {}
        self.queues: dict[
            states.Rank,
            collections.OrderedDict[ids.ExchangeId, queued_work.QueuedWork],
        ] = {rank: collections.OrderedDict() for rank in states.Rank}

    def pop_next(
        self,
        rank: states.Rank,
        now: float,
    ) -> queued_work.QueuedWork:
        """Take the next request out of the queue of a rank."""
        queue = self.queues[rank]
        work = next_work.next_work(queue.values(), now)
        queue.pop(work.exchange)
        self.queued_ranks.pop(work.exchange)
        return work
