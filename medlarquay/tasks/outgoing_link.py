"""State of a call link to the owner on another node."""

import dataclasses

from medlarquay import events, ids, transport

__all__ = ('OutgoingLink',)


@dataclasses.dataclass(slots=True, kw_only=True)
class OutgoingLink:
    """State of a call link to the owner on another node.

    Attributes
    ----------
    instance : InstanceId
        Owner at the other end.
    number : LinkId
        Number of the link at this node.
    link : Link or None
        The open link; None while connecting.
    waiting : list of SendCall
        Calls to send once the link is open.
    notices : list of object
        Messages without an answer to send once the link is open.
    sent : dict of CallId to float
        Calls whose last byte was written and that were not answered yet,
        with that time in seconds on the monotonic clock.
    heard_at : float
        Time at which bytes were last received, also a part of a frame,
        seconds on the monotonic clock.
    """

    instance: ids.InstanceId
    number: ids.LinkId = ids.LinkId(0)
    link: transport.Link | None = None
    waiting: list[events.SendCall] = dataclasses.field(default_factory=list)
    notices: list[object] = dataclasses.field(default_factory=list)
    sent: dict[ids.CallId, float] = dataclasses.field(default_factory=dict)
    heard_at: float = 0

    def take_waiting(self, call_id: ids.CallId) -> events.SendCall | None:
        """Remove and return a call that waits for the link."""
        for call in self.waiting:
            if call.request.call_id == call_id:
                self.waiting.remove(call)
                return call
        return None
