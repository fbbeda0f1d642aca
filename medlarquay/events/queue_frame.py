"""Queue a large frame to be sent in fragments at the pace of the uplink."""

import dataclasses

from medlarquay import ids, pacing

__all__ = ('QueueFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueFrame:
    """Queue a large frame to be sent in fragments at the pace of the uplink.

    Attributes
    ----------
    link : ids.LinkId
        Link to send on.
    call_id : ids.CallId
        Call of the frame.
    frame : bytes
        Whole frame.
    urgency : pacing.Urgency
        Rank and times that decide the order of the frames and when one is
        dropped.
    """

    link: ids.LinkId
    call_id: ids.CallId
    frame: bytes
    urgency: pacing.Urgency
