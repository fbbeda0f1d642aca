"""A peer that this node follows answered a probe."""

import dataclasses

from medlarquay import replica

__all__ = ('FreshnessReceived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessReceived:
    """A peer that this node follows answered a probe.

    Attributes
    ----------
    peer : str
        Address of the peer.
    vector : replica.VersionVector
        Revisions up to which the peer holds every record.
    requested_at : float
        Time at which the probe was sent, seconds on the monotonic clock.
    confirmed_at : float
        Time at which the source last confirmed the records of the peer, on
        the same clock; -inf if unknown.
    list_confirmed_at : float
        The same for the instance list alone.
    """

    peer: str
    vector: replica.VersionVector
    requested_at: float
    confirmed_at: float
    list_confirmed_at: float
