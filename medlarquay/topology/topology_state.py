"""What a node knows when it chooses whom to follow."""

import dataclasses

from medlarquay.topology import members, peer

__all__ = ('TopologyState',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TopologyState:
    """What a node knows when it chooses whom to follow.

    Attributes
    ----------
    own : Peer
        This node; it may be missing from the lagging instance list.
    seeds : tuple of Peer
        Addresses from the settings, possibly with the own one.
    members : Members
        Nodes of the instance list.
    suspects : frozenset of str
        Addresses of nodes not to follow for now.
    parent : Peer or None
        Parent followed at present.
    source_reachable : bool
        Whether this node's last read of the source succeeded.
    children : int
        Nodes that follow this one.
    stale : bool
        Whether the parent answers, but the source confirmed what it holds
        too long ago.
    reading : bool
        Whether this node reads the source although others precede it.
    """

    local_peer: peer.Peer
    seeds: tuple[peer.Peer, ...]
    members: members.Members
    suspects: frozenset[str]
    parent: peer.Peer | None = None
    source_reachable: bool = True
    child_count: int = 0
    parent_stale: bool = False
    backup_reader: bool = False
