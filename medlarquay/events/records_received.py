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
        Records from the peer.
    wire_bytes : int
        Length of the encoded message.
    received_at : float or None
        Time of arrival, before decoding, seconds on the monotonic clock; None
        if not measured.
    """

    peer: str
    delta: replica.Delta
    wire_bytes: int = 0
    received_at: float | None = None
