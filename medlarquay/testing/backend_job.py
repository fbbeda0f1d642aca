"""Request that the backend server double queues or runs."""

import dataclasses

from twisted.internet import interfaces

from medlarquay.testing import http_exchange, run_entry

__all__ = ('BackendJob',)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class BackendJob:
    """Request that the backend server double queues or runs.

    Attributes
    ----------
    exchange : HttpExchange
        Request to answer.
    service_s : float
        Service time in seconds.
    deadline : float
        Reactor time in seconds after which the caller no longer waits.
    entry : RunEntry or None
        Record of the run; None while the request waits for a slot.
    timer : IDelayedCall or None
        Pending timer of the job: the queue timeout while it waits, the end
        of the run or its deadline while it runs.
    """

    exchange: http_exchange.HttpExchange
    service_s: float
    deadline: float
    entry: run_entry.RunEntry | None = None
    timer: interfaces.IDelayedCall | None = None
