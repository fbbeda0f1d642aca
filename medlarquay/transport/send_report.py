"""Report that a frame was sent, or lost with its connection."""

import dataclasses

__all__ = ('SendReport', 'lost_send_report')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendReport:
    """Reports that a frame was sent, or lost with its connection.

    A frame is sent once the kernel has accepted its last byte.

    Attributes
    ----------
    frame_bytes : int
        Length of the frame in bytes.
    ahead_bytes : int
        Bytes already buffered in the node on the same connection when the
        frame was written.
    kernel_bytes : int or None
        Bytes of the connection, including this frame's, that the peer had not
        acknowledged when the kernel accepted the last byte; None if the
        kernel was not queried.
    sent : bool
        Whether the kernel accepted the last byte; False if the connection was
        lost before.
    """

    frame_bytes: int
    ahead_bytes: int
    kernel_bytes: int | None
    sent: bool


def lost_send_report(frame_bytes: int) -> SendReport:
    """Return the report of a frame that was not written: no open connection.

    Parameters
    ----------
    frame_bytes : int
        Length of the frame in bytes.

    Returns
    -------
    SendReport
    """
    return SendReport(
        frame_bytes=frame_bytes,
        ahead_bytes=0,
        kernel_bytes=None,
        sent=False,
    )
