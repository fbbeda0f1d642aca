"""The calls under way at the ingress."""

from collections.abc import Iterator

from medlarquay import events, ids
from medlarquay.ingress import ingress_call

__all__ = ('IngressCalls',)


class IngressCalls:
    """Finds the calls under way by number and by caller.

    Notes
    -----
    Each attempt has a number of its own that is never used again, so a
    result can only be matched to the attempt that it belongs to.

    Attributes
    ----------
    owed : RequestReceived or None
        Request that is neither under way nor answered: the message being
        handled began or ended it.
    """

    def __init__(self) -> None:
        self.owed: events.RequestReceived | None = None
        self._by_id: dict[ids.CallId, ingress_call.IngressCall] = {}
        self._by_caller: dict[ids.CallerId, ids.CallId] = {}
        self._last = 0

    def __len__(self) -> int:
        """Return how many calls are under way."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[ingress_call.IngressCall]:
        """Iterate over the calls, in the order of their latest attempts."""
        return iter(tuple(self._by_id.values()))

    def add(self, call: ingress_call.IngressCall) -> None:
        """Number a new attempt and keep it."""
        self._last += 1
        call.call_id = ids.CallId(self._last)
        self._by_id[call.call_id] = call
        self._by_caller[call.caller] = call.call_id

    def finish(self, call_id: ids.CallId) -> ingress_call.IngressCall | None:
        """Forget an attempt; return its call if it was still under way."""
        call = self._by_id.pop(call_id, None)
        if call is not None:
            self._by_caller.pop(call.caller, None)
            self.owed = call.message
        return call

    def finish_caller(
        self,
        caller: ids.CallerId,
    ) -> ingress_call.IngressCall | None:
        """Forget the attempt of a caller and return its call, if any."""
        call_id = self._by_caller.get(caller)
        return None if call_id is None else self.finish(call_id)

    def end_by(self, deadline: float) -> None:
        """Let all calls end at a time or before, see ``IngressCall``."""
        for call in self._by_id.values():
            call.end_by(deadline)

    def expired(self, now: float) -> tuple[ingress_call.IngressCall, ...]:
        """Return the calls past their deadline at the ingress."""
        return tuple(
            call for call in self._by_id.values() if call.deadline <= now
        )

    def next_deadline(self) -> float:
        """Return the earliest deadline; infinity if there is no call."""
        return min(
            (call.deadline for call in self._by_id.values()),
            default=float('inf'),
        )
