"""The configuration of the parent became stale, or is fresh again."""

import dataclasses

from medlarquay import topology

__all__ = ('ParentAged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentAged:
    """The configuration of the parent became stale, or is fresh again.

    Attributes
    ----------
    parent : topology.Peer
        Parent.
    stale : bool
        Whether the source confirmed its configuration too long ago.
    """

    parent: topology.Peer
    stale: bool
