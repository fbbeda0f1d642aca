"""Calls to other nodes that have not been written completely."""

import math

from medlarquay import events, ids

__all__ = ('UnsentCalls',)


class UnsentCalls:
    """Calls to other nodes whose last byte was not written yet.

    If their link is lost, they were not run, because no owner has received
    the whole request.
    """

    def __init__(self) -> None:
        self._calls: dict[tuple[ids.LinkId, ids.CallId], events.SendCall] = {}
        # Time at which each link last got a call while it had none.
        self._begun_at: dict[ids.LinkId, float] = {}

    def add(
        self,
        link: ids.LinkId,
        call: events.SendCall,
        now: float,
    ) -> None:
        """Add a call that is being sent on a link."""
        self._calls[link, call.request.call_id] = call
        self._begun_at.setdefault(link, now)

    def begun_at(self, link: ids.LinkId) -> float:
        """Return the time since which a link has had unsent calls.

        Infinity if it has none.
        """
        return self._begun_at.get(link, math.inf)

    def find(
        self,
        link: ids.LinkId,
        call_id: ids.CallId,
    ) -> events.SendCall | None:
        """Return a call; None if it has been sent."""
        return self._calls.get((link, call_id))

    def pop(
        self,
        link: ids.LinkId,
        call_id: ids.CallId,
    ) -> events.SendCall | None:
        """Remove and return a call; None if it has been sent."""
        call = self._calls.pop((link, call_id), None)
        if not any(key[0] == link for key in self._calls):
            self._begun_at.pop(link, None)
        return call

    def pop_link(self, link: ids.LinkId) -> list[events.SendCall]:
        """Remove and return the unsent calls of a link."""
        self._begun_at.pop(link, None)
        keys = [key for key in self._calls if key[0] == link]
        return [self._calls.pop(key) for key in keys]
