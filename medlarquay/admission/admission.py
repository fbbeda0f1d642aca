"""State of admission at one backend server."""

import collections

from medlarquay import ids, states
from medlarquay.admission import (
    estimate_table,
    limits,
    link_queue,
    queued_work,
    running_work,
    service_times,
    slot_limit,
    slot_shares,
)

__all__ = ('Admission',)

# Sizes vary more than service times and drift less.
_SIZE_SMOOTHING = 0.02


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
        self.slot_limit = slot_limit.SlotLimit()
        self.slot_limit.configure(bounds.slots)
        self.shares = slot_shares.SlotShares()
        self.times = service_times.ServiceTimes()
        self.link = link_queue.LinkQueue()
        self.link.configure(bounds.link_bytes_per_s)
        self.answer_bytes: estimate_table.EstimateTable[ids.RouteName] = (
            estimate_table.EstimateTable(smoothing=_SIZE_SMOOTHING)
        )
        self.running: dict[ids.ExchangeId, running_work.RunningWork] = {}
        self.queued_ranks: dict[ids.ExchangeId, states.Rank] = {}
        self.queues: dict[
            states.Rank,
            collections.OrderedDict[ids.ExchangeId, queued_work.QueuedWork],
        ] = {rank: collections.OrderedDict() for rank in states.Rank}

    def link_free_at(self, rank: states.Rank, now: float) -> float:
        """Return when the large answers under way will have left the link.

        Parameters
        ----------
        rank : Rank
            Last rank that counts; those after it are overtaken.
        now : float
            Seconds on the monotonic clock.
        """
        counted = rank.up_to()
        expected = sum(
            self.answer_bytes.mean(work.route)
            for work in self.running.values()
            if work.large and work.rank in counted
        )
        return self.link.free_at(rank, now) + self.link.time_of(expected)

    def pop(self, work: queued_work.QueuedWork) -> None:
        """Take a request out of the queue of its rank."""
        rank = self.queued_ranks.pop(work.exchange)
        self.queues[rank].pop(work.exchange)
