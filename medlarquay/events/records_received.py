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
    """

    peer: str
    delta: replica.Delta
