"""What a node does to receive the configuration."""

import dataclasses

from medlarquay import states
from medlarquay.topology import peer

__all__ = ('UpstreamChoice',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChoice:
    """What a node does to receive the configuration.

    Attributes
    ----------
    parent : Peer or None
        Node to follow.
    mode : states.ReadingMode
        Whether and how often it reads the source.
    must_be_fresh : bool
        Whether a parent without a recent confirmation is of no use.
    """

    parent: peer.Peer | None
    mode: states.ReadingMode
    must_be_fresh: bool = False
