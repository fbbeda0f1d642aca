"""Result of asking a peer for its version vector."""

import dataclasses

from medlarquay import replica

__all__ = ('PeerVersion',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerVersion:
    """Result of asking a peer for its version vector.

    Attributes
    ----------
    peer : str
        Address of the peer.
    vector : replica.VersionVector or None
        Revisions up to which the peer holds every record; None if it did not
        answer.
    """

    peer: str
    vector: replica.VersionVector | None
