"""A parent failed or is of no use."""

import dataclasses

from medlarquay import states, topology

__all__ = ('ParentLost',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentLost:
    """A parent failed or is of no use.

    Attributes
    ----------
    parent : topology.Peer
        Parent.
    reason : states.ParentFault
        Why it is not followed.
    """

    parent: topology.Peer
    reason: states.ParentFault
