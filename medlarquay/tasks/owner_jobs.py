"""Index of the requests that the owner has queued or sent."""

from collections.abc import Iterator

from medlarquay import ids
from medlarquay.tasks import owner_job, waiting_caller

__all__ = ('OwnerJobs',)


class OwnerJobs:
    """Index of the owner's queued and sent requests, by exchange and call.

    Attributes
    ----------
    held : list of OwnerJob
        Jobs that the quarantine holds until another suspect has ended.
    """

    def __init__(self) -> None:
        self.held: list[owner_job.OwnerJob] = []
        self._by_exchange: dict[ids.ExchangeId, owner_job.OwnerJob] = {}
        self._by_call: dict[
            tuple[ids.LinkId, ids.CallId], owner_job.OwnerJob
        ] = {}
        self._last_exchange = 0

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._by_exchange)

    def __iter__(self) -> Iterator[owner_job.OwnerJob]:
        """Iterate over a copy, so that jobs may be removed in the loop."""
        return iter(tuple(self._by_exchange.values()))

    def next_exchange(self) -> ids.ExchangeId:
        """Return a new exchange number."""
        self._last_exchange += 1
        return ids.ExchangeId(self._last_exchange)

    def add(self, job: owner_job.OwnerJob) -> None:
        """Add a job without callers."""
        self._by_exchange[job.exchange] = job

    def find(self, exchange: ids.ExchangeId) -> owner_job.OwnerJob | None:
        """Return the job of an exchange, or None if it has ended."""
        return self._by_exchange.get(exchange)

    def add_caller(
        self,
        job: owner_job.OwnerJob,
        caller: waiting_caller.WaitingCaller,
    ) -> None:
        """Register a caller for the result of a job."""
        job.callers.append(caller)
        self._by_call[caller.link, caller.call_id] = job

    def remove_caller(
        self,
        link: ids.LinkId,
        call_id: ids.CallId,
    ) -> owner_job.OwnerJob | None:
        """Remove a caller and return the job that it waited for."""
        job = self._by_call.pop((link, call_id), None)
        if job is not None:
            job.callers = [
                caller
                for caller in job.callers
                if (caller.link, caller.call_id) != (link, call_id)
            ]
        return job

    def remove_callers_on(self, link: ids.LinkId) -> list[owner_job.OwnerJob]:
        """Remove all callers on a link and return jobs left without any."""
        calls = [
            call_id
            for caller_link, call_id in self._by_call
            if caller_link == link
        ]
        left = [self.remove_caller(link, call_id) for call_id in calls]
        return [job for job in left if job is not None and not job.callers]

    def pop(self, exchange: ids.ExchangeId) -> owner_job.OwnerJob | None:
        """Remove and return a job; its list of callers is kept."""
        job = self._by_exchange.pop(exchange, None)
        if job is None:
            return None
        for caller in job.callers:
            self._by_call.pop((caller.link, caller.call_id), None)
        if job in self.held:
            self.held.remove(job)
        return job
