"""The records of the parent became stale, or are fresh again."""

import dataclasses

from medlarquay import topology

__all__ = ('ParentAged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentAged:
    """The records of the parent became stale, or are fresh again.

    Attributes
    ----------
    parent : topology.Peer
        Parent.
    stale : bool
        Whether the last confirmation by the source is too long ago.
    """

    parent: topology.Peer
    stale: bool
