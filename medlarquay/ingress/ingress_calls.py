"""The calls in progress at the ingress."""

from collections.abc import Iterator

from medlarquay import events, ids
from medlarquay.ingress import ingress_call

__all__ = ('IngressCalls',)


class IngressCalls:
    """Finds the calls in progress by attempt number and by caller.

    Notes
    -----
    Each attempt has a unique number that is never reused, so a late result
    cannot be matched to another attempt.

    Attributes
    ----------
    pending_request : RequestReceived or None
        Request that the message being handled has begun or ended, while it
        is neither in progress nor answered; None otherwise. The router
        answers it if the handler fails.
    """

    def __init__(self) -> None:
        self.pending_request: events.RequestReceived | None = None
        self._by_id: dict[ids.CallId, ingress_call.IngressCall] = {}
        self._by_caller: dict[ids.CallerId, ids.CallId] = {}
        self._last = 0

    def __len__(self) -> int:
        """Return the number of calls in progress."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[ingress_call.IngressCall]:
        """Iterate over a copy of the calls, in order of their last attempts."""
        return iter(tuple(self._by_id.values()))

    def add(self, call: ingress_call.IngressCall) -> None:
        """Assign a number to a new attempt of a call and add it."""
        self._last += 1
        call.call_id = ids.CallId(self._last)
        self._by_id[call.call_id] = call
        self._by_caller[call.caller] = call.call_id

    def finish(self, call_id: ids.CallId) -> ingress_call.IngressCall | None:
        """Remove an attempt; return its call, or None if not in progress."""
        call = self._by_id.pop(call_id, None)
        if call is not None:
            self._by_caller.pop(call.caller, None)
            self.pending_request = call.message
        return call

    def finish_call_of(
        self,
        caller: ids.CallerId,
    ) -> ingress_call.IngressCall | None:
        """Remove the attempt of a caller; return its call, or None."""
        call_id = self._by_caller.get(caller)
        return None if call_id is None else self.finish(call_id)

    def limit_deadline(self, deadline: float) -> None:
        """Bring the deadlines of all calls forward to a time, if later."""
        for call in self._by_id.values():
            call.limit_deadline(deadline)

    def expired(self, now: float) -> tuple[ingress_call.IngressCall, ...]:
        """Return the calls whose deadline at the ingress has passed."""
        return tuple(
            call for call in self._by_id.values() if call.deadline <= now
        )

    def next_deadline(self) -> float:
        """Return the earliest deadline; infinity if there are no calls."""
        return min(
            (call.deadline for call in self._by_id.values()),
            default=float('inf'),
        )
