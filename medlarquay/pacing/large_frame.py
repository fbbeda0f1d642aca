"""Frame that is sent in fragments."""

import dataclasses

from medlarquay import ids
from medlarquay.pacing import urgency

__all__ = ('LargeFrame',)


@dataclasses.dataclass(slots=True, kw_only=True)
class LargeFrame:
    """Frame that is sent in fragments.

    Attributes
    ----------
    link : LinkId
        Link to send on.
    call_id : CallId
        Call that the frame belongs to; at most one frame for each call and
        link.
    stream : StreamId
        Number of the frame on its link.
    content : bytes
        Encoded frame.
    urgency : Urgency
        Rank, due time and deadline of the frame.
    sent : int
        Number of bytes that were sent.
    """

    link: ids.LinkId
    call_id: ids.CallId
    stream: ids.StreamId
    content: bytes
    urgency: urgency.Urgency
    sent: int = 0

    @property
    def remaining(self) -> int:
        """Number of bytes that were not sent yet."""
        return len(self.content) - self.sent
