"""A new parent answered its first probe and is followed."""

import dataclasses

from medlarquay import topology

__all__ = ('ParentAnswered',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentAnswered:
    """A new parent answered its first probe and is followed.

    Attributes
    ----------
    parent : topology.Peer
        Parent.
    """

    parent: topology.Peer
