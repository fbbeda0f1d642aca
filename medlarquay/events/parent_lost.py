"""A parent failed or turned out to be unusable."""

import dataclasses

from medlarquay import states, topology

__all__ = ('ParentLost',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentLost:
    """A parent failed or turned out to be unusable.

    Attributes
    ----------
    parent : topology.Peer
        Parent.
    reason : states.ParentFault
        Why the parent is not followed.
    """

    parent: topology.Peer
    reason: states.ParentFault
