"""A followed peer answered a probe."""

import dataclasses

from medlarquay import replica

__all__ = ('FreshnessReceived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessReceived:
    """A followed peer answered a probe.

    Attributes
    ----------
    peer : str
        Address of the peer.
    vector : replica.VersionVector
        What the peer holds.
    asked_at : float
        When the probe was sent, seconds on the monotonic clock.
    confirmed_at : float
        When the source confirmed what the peer holds; -inf if unknown.
    list_confirmed_at : float
        The same for the instance list alone.
    """

    peer: str
    vector: replica.VersionVector
    asked_at: float
    confirmed_at: float
    list_confirmed_at: float
