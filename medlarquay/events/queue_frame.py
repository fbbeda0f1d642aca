"""Send a large frame in fragments when the link of the machine has room."""

import dataclasses

from medlarquay import ids, pacing

__all__ = ('QueueFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueFrame:
    """Send a large frame in fragments when the link of the machine has room.

    Attributes
    ----------
    link : ids.LinkId
        Link to send on.
    call_id : ids.CallId
        Call that the frame belongs to.
    frame : bytes
        Whole frame.
    urgency : pacing.Urgency
        Decides which frame goes first, and until when.
    """

    link: ids.LinkId
    call_id: ids.CallId
    frame: bytes
    urgency: pacing.Urgency
