"""Where a node receives the configuration from."""

import dataclasses

from medlarquay import states
from medlarquay.topology import peer

__all__ = ('UpstreamChoice',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamChoice:
    """Where a node receives the configuration from.

    Attributes
    ----------
    parent : Peer or None
        Node to follow.
    mode : states.ReadingMode
        Whether and how often it reads the source.
    must_be_fresh : bool
        Whether a parent is rejected unless the source confirmed its data
        recently.
    parent_reads_source : bool
        Whether the parent is the node that reads the source for its region.
    """

    parent: peer.Peer | None
    mode: states.ReadingMode
    must_be_fresh: bool = False
    parent_reads_source: bool = False
