"""Calls to other nodes that have not been written completely."""

import math

from medlarquay import events, ids, messages
from medlarquay.tasks import link_writer, outgoing_link

__all__ = ('UnsentCalls',)


class UnsentCalls:
    """Calls to other nodes whose last byte was not written yet.

    If their link is lost, they were not run, because no owner has received
    the whole request. Some calls are offered first; their requests are sent
    when the owner grants them.

    Parameters
    ----------
    writer : LinkWriter
        Sends the offers.
    """

    def __init__(self, *, writer: link_writer.LinkWriter) -> None:
        self._writer = writer
        self._calls: dict[tuple[ids.LinkId, ids.CallId], events.SendCall] = {}
        # Time at which each link last got a call while it had none.
        self._unsent_since: dict[ids.LinkId, float] = {}

    def add(
        self,
        link: ids.LinkId,
        call: events.SendCall,
        now: float,
    ) -> None:
        """Add a call that is being sent on a link."""
        self._calls[link, call.request.call_id] = call
        self._unsent_since.setdefault(link, now)

    def unsent_since(self, link: ids.LinkId) -> float:
        """Return the time since which a link has had unsent calls.

        Infinity if it has none.
        """
        return self._unsent_since.get(link, math.inf)

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
            self._unsent_since.pop(link, None)
        return call

    def pop_link(self, link: ids.LinkId) -> list[events.SendCall]:
        """Remove and return the unsent calls of a link."""
        self._unsent_since.pop(link, None)
        keys = [key for key in self._calls if key[0] == link]
        return [self._calls.pop(key) for key in keys]

    def offer(
        self,
        outgoing: outgoing_link.OutgoingLink,
        call: events.SendCall,
    ) -> None:
        """Offer a call; its request is sent when the owner grants it."""
        outgoing.offered.add(call.request.call_id)
        self._writer.send(outgoing.number, call.offer)

    def take_granted(
        self,
        outgoing: outgoing_link.OutgoingLink,
        call_id: ids.CallId,
    ) -> events.SendCall | None:
        """Return the call that was granted; None if it was withdrawn."""
        if call_id not in outgoing.offered:
            return None
        outgoing.offered.discard(call_id)
        return self.find(outgoing.number, call_id)

    def end_refused(
        self,
        outgoing: outgoing_link.OutgoingLink,
        message: object,
    ) -> bool:
        """Forget a call that was refused; return whether it was offered.

        An owner can only refuse an offered call: it has no request to run.
        """
        if not isinstance(message, messages.CallRefused):
            return False
        if message.call_id not in outgoing.offered:
            return False
        outgoing.offered.discard(message.call_id)
        return self.pop(outgoing.number, message.call_id) is not None

    def withdraw(
        self,
        outgoing: outgoing_link.OutgoingLink,
        call: events.SendCall,
    ) -> None:
        """Withdraw a call that was not sent completely.

        The owner of an offered call must not keep room for its body.
        """
        call_id = call.request.call_id
        self._writer.withdraw(outgoing.number, call_id)
        outgoing.offered.discard(call_id)
        if call.offered_first:
            cancel = messages.CallCancel(call_id=call_id)
            self._writer.send(outgoing.number, cancel)
