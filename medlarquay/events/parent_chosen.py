"""Follow a new parent, or none."""

import dataclasses

from medlarquay import topology

__all__ = ('ParentChosen',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentChosen:
    """Follow a new parent, or none.

    Attributes
    ----------
    parent : topology.Peer or None
        Parent to follow; None to follow none.
    must_be_fresh : bool
        Whether to give up a parent without a recent confirmation by the
        source, as for the reader of another region.
    parent_reads_source : bool
        Whether the parent is the node that reads the source for its region.
    """

    parent: topology.Peer | None
    must_be_fresh: bool
    parent_reads_source: bool = False
