"""Calls to other nodes whose last byte was not written yet."""

import math

from medlarquay import events, ids

__all__ = ('UnsentCalls',)


class UnsentCalls:
    """Calls to other nodes whose last byte was not written yet.

    No owner can have run them, because none got the whole request.
    """

    def __init__(self) -> None:
        self._calls: dict[tuple[ids.LinkId, ids.CallId], events.SendCall] = {}
        # When the first of the calls that are on a link was begun.
        self._begun_at: dict[ids.LinkId, float] = {}

    def add(
        self,
        number: ids.LinkId,
        call: events.SendCall,
        now: float,
    ) -> None:
        """Add a call that is sent on a link."""
        self._calls[number, call.request.call_id] = call
        self._begun_at.setdefault(number, now)

    def begun_at(self, number: ids.LinkId) -> float:
        """Return since when calls leave on a link; infinity if none does."""
        return self._begun_at.get(number, math.inf)

    def find(
        self,
        number: ids.LinkId,
        call_id: ids.CallId,
    ) -> events.SendCall | None:
        """Return a call, if it has not left."""
        return self._calls.get((number, call_id))

    def pop(
        self,
        number: ids.LinkId,
        call_id: ids.CallId,
    ) -> events.SendCall | None:
        """Remove and return a call, if it has not left."""
        found = self._calls.pop((number, call_id), None)
        if not any(key[0] == number for key in self._calls):
            self._begun_at.pop(number, None)
        return found

    def pop_link(self, number: ids.LinkId) -> list[events.SendCall]:
        """Remove and return the calls on a link."""
        self._begun_at.pop(number, None)
        keys = [key for key in self._calls if key[0] == number]
        return [self._calls.pop(key) for key in keys]
