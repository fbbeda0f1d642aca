"""Admitted request, queued or about to start."""

import dataclasses

from medlarquay import ids

__all__ = ('QueuedWork',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedWork:
    """Admitted request that waits for a slot or is about to start.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    deadline, due : float
        Time at which the caller stops waiting, and time by which it wants the
        answer; seconds on the monotonic clock.
    service : float
        Service time that few requests of the route exceed, in seconds; 0
        before the first sample.
    transfer : float
        Expected time of the answer on the link, in seconds.
    large : bool
        Whether a large answer is expected, which waits until the large
        answers ahead of it have left the link.
    latest_start : float
        Time at which the request is refused if it is still queued, seconds
        on the monotonic clock.
    route : RouteName
        Route of the request.
    """

    exchange: ids.ExchangeId
    deadline: float
    service: float
    latest_start: float
    due: float
    route: ids.RouteName
    transfer: float = 0
    large: bool = False

    def answered_at(self, start_at: float, link_free_at: float) -> float:
        """Return when the answer will have left the link.

        Parameters
        ----------
        start_at : float
            Time at which the request starts, seconds on the monotonic clock.
        link_free_at : float
            Time at which the large answers ahead have left, on the same
            clock.
        """
        ready_at = start_at + self.service
        if self.large:
            ready_at = max(ready_at, link_free_at)
        return ready_at + self.transfer
