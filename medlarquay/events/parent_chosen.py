"""The node is to follow a parent."""

import dataclasses

from medlarquay import topology

__all__ = ('ParentChosen',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentChosen:
    """The node is to follow a parent.

    Attributes
    ----------
    parent : topology.Peer or None
        Parent; None to follow none.
    must_be_fresh : bool
        Whether a parent without a recent confirmation is of no use, as for
        the reader of another region.
    """

    parent: topology.Peer | None
    must_be_fresh: bool
