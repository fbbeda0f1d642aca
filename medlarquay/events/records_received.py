"""A peer sent records."""

import dataclasses

from medlarquay import replica

__all__ = ('RecordsReceived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordsReceived:
    """A peer sent records.

    Attributes
    ----------
    peer : str
        Address of the peer.
    delta : replica.Delta
        Records that it sent.
    wire_bytes : int
        Length of the message.
    received_at : float or None
        When it arrived, before it was decoded, seconds on the monotonic
        clock; None if that was not noted.
    """

    peer: str
    delta: replica.Delta
    wire_bytes: int = 0
    received_at: float | None = None
