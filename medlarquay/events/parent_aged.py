"""The parent may lack changes, or holds fresh data again."""

import dataclasses

from medlarquay import topology

__all__ = ('ParentAged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentAged:
    """The parent may lack changes, or holds fresh data again.

    Attributes
    ----------
    parent : topology.Peer
        Parent.
    stale : bool
        Whether the parent doesn't answer, or the last confirmation of its
        data by the source is too long ago.
    """

    parent: topology.Peer
    stale: bool
