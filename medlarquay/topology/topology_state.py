"""What a node knows when it chooses its parent."""

import dataclasses

from medlarquay.topology import members as node_lists
from medlarquay.topology import peer

__all__ = ('TopologyState',)

_NOBODY = node_lists.Members(())


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TopologyState:
    """What a node knows when it chooses its parent.

    Attributes
    ----------
    local_peer : Peer
        This node; it may be missing from the lagging instance list.
    seeds : tuple of Peer
        Addresses from the settings, possibly including that of this node.
    members : Members
        Nodes of the instance list.
    suspects : frozenset of str
        Addresses of nodes that may not be followed for now.
    parent : Peer or None
        Parent followed at present.
    source_reachable : bool
        Whether this node's last read of the source succeeded.
    child_count : int
        Number of nodes that follow this one.
    parent_stale : bool
        Whether the parent doesn't answer, or its data was last confirmed by
        the source too long ago.
    silent_candidates : int
        Number of nodes that were to become the parent and sent nothing, since
        a parent last answered.
    backup_reader : bool
        Whether this node reads the source although other nodes of its region
        precede it.
    can_discover : bool
        Whether the source can be asked for some other nodes at little cost.
    discovered : Members
        Nodes that were found so; used while ``members`` is empty.
    discovery_over : bool
        Whether the time to find a first parent among them is over.
    """

    local_peer: peer.Peer
    seeds: tuple[peer.Peer, ...]
    members: node_lists.Members
    suspects: frozenset[str]
    parent: peer.Peer | None = None
    source_reachable: bool = True
    child_count: int = 0
    parent_stale: bool = False
    silent_candidates: int = 0
    backup_reader: bool = False
    can_discover: bool = False
    discovered: node_lists.Members = _NOBODY
    discovery_over: bool = False
