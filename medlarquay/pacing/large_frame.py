"""A frame that is sent in fragments."""

import dataclasses

from medlarquay import ids
from medlarquay.pacing import urgency

__all__ = ('LargeFrame',)


@dataclasses.dataclass(slots=True, kw_only=True)
class LargeFrame:
    """A frame that is sent in fragments.

    Attributes
    ----------
    link : LinkId
        Link to send on.
    call_id : CallId
        Call that the frame belongs to; one frame a call and link.
    stream : StreamId
        Number of the frame.
    content : bytes
        Whole frame.
    urgency : Urgency
        Decides when it is sent.
    sent : int
        Bytes that were sent.
    """

    link: ids.LinkId
    call_id: ids.CallId
    stream: ids.StreamId
    content: bytes
    urgency: urgency.Urgency
    sent: int = 0

    @property
    def remaining(self) -> int:
        """Bytes that were not sent yet."""
        return len(self.content) - self.sent
