"""Admission control state of one backend server."""

import collections
import math

from medlarquay import ids, states
from medlarquay.admission import (
    estimate_table,
    limits,
    link_queue,
    queued_work,
    running_work,
    service_times,
    slot_limit,
    slot_usage,
)

__all__ = ('Admission',)

# Smaller than for service times: answer sizes vary more and drift less.
_SIZE_SMOOTHING = 0.02


class Admission:
    """Admission control state of one backend server.

    Parameters
    ----------
    bounds : Limits
        Limits set by the operators.

    Attributes
    ----------
    closes_at : float
        Time from which no request starts, seconds on the monotonic clock.

    Notes
    -----
    Only :func:`decide` changes the state.
    """

    def __init__(self, *, bounds: limits.Limits) -> None:
        self.bounds = bounds
        self.closes_at = math.inf
        self.slot_limit = slot_limit.SlotLimit()
        self.slot_limit.configure(bounds.slots)
        self.slot_usage = slot_usage.SlotUsage()
        self.service_times = service_times.ServiceTimes()
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
        """Return when the link will have sent the expected large answers.

        Counts the answers that wait for the link and those expected from
        running requests.

        Parameters
        ----------
        rank : Rank
            Lowest rank that counts; answers of lower ranks are overtaken.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds on the monotonic clock.
        """
        leaving_first = rank.at_or_above()
        expected = sum(
            self.answer_bytes.mean(work.route)
            for work in self.running.values()
            if work.large and work.rank in leaving_first
        )
        return self.link.free_at(rank, now) + self.link.transfer_time(expected)

    def pop(self, work: queued_work.QueuedWork) -> None:
        """Remove a request from the queue of its rank."""
        rank = self.queued_ranks.pop(work.exchange)
        self.queues[rank].pop(work.exchange)
