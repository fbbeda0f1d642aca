"""A peer was asked for its version."""

import dataclasses

from medlarquay import replica

__all__ = ('PeerVersion',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerVersion:
    """A peer was asked for its version.

    Attributes
    ----------
    peer : str
        Address of the peer.
    vector : replica.VersionVector or None
        What the peer holds; None if it did not answer.
    """

    peer: str
    vector: replica.VersionVector | None
