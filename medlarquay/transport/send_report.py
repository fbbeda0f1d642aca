"""A frame has left its link, or was lost with it."""

import dataclasses

__all__ = ('SendReport', 'lost_send_report')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendReport:
    """A frame has left its link, or was lost with it.

    Attributes
    ----------
    frame_bytes : int
        Length of the frame.
    ahead_bytes : int
        Bytes that waited in the node on the same link when it was sent.
    kernel_bytes : int or None
        Bytes of the connection, this frame's among them, that the kernel had
        not yet seen acknowledged when it took the last byte; None if it was
        not asked.
    sent : bool
        Whether the kernel took the last byte; False if the link was lost
        before.
    """

    frame_bytes: int
    ahead_bytes: int
    kernel_bytes: int | None
    sent: bool


def lost_send_report(frame_bytes: int) -> SendReport:
    """Return the report of a frame whose link was closed before.

    Parameters
    ----------
    frame_bytes : int
        Length of the frame.
    """
    return SendReport(
        frame_bytes=frame_bytes,
        ahead_bytes=0,
        kernel_bytes=None,
        sent=False,
    )
