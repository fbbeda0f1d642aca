"""Choice of the first parent of a node that knows no instance list."""

from medlarquay import states
from medlarquay.topology import (
    members,
    parent_position,
    peer,
    topology_state,
    upstream_choice,
)

__all__ = ('choose_discovered',)

# Nodes of a region that read without waiting. With one, all others would wait
# whenever that one is gone.
_FIRST_READERS = 3


def choose_discovered(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    """Choose a parent among the discovered nodes, or read the source.

    Parameters
    ----------
    state : TopologyState
        State of a node without an instance list.

    Notes
    -----
    Only the first discovered nodes of each region may read at once, if those
    before them cannot be followed. The other nodes follow discovered ones, also those that come after
    them in the distribution order: this holds until the instance list arrives
    from there, after which parents precede their children again.

    A node that has found no parent in time reads the source: the discovered
    nodes may be gone, or out of its reach.
    """
    if state.discovery_over and state.parent is None:
        return _read()
    if not state.discovered:
        return upstream_choice.UpstreamChoice(
            parent=None,
            mode=states.ReadingMode.DISCOVERING,
        )
    parent = _choose_parent(state)
    if parent is None and _may_read(state):
        return _read()
    return upstream_choice.UpstreamChoice(
        parent=parent or _any_usable(state),
        mode=states.ReadingMode.NONE,
    )


def _may_read(state: topology_state.TopologyState) -> bool:
    preceding = state.discovered.preceding_in_region(state.local_peer)
    is_listed = state.discovered.includes(state.local_peer)
    return is_listed and len(preceding) < _FIRST_READERS


def _read() -> upstream_choice.UpstreamChoice:
    return upstream_choice.UpstreamChoice(
        parent=None,
        mode=states.ReadingMode.READER,
    )


def _choose_parent(
    state: topology_state.TopologyState,
) -> peer.Peer | None:
    """Return a usable node that precedes this one; None if there is none."""
    in_centre = _usable(
        state.discovered.preceding_in_centre(state.local_peer), state
    )
    if in_centre:
        return parent_position.parent_by_position(in_centre, state.parent)
    in_region = _usable(
        state.discovered.preceding_in_region(state.local_peer), state
    )
    return in_region[0] if in_region else None


def _any_usable(state: topology_state.TopologyState) -> peer.Peer | None:
    """Return the first usable node of the region, or else of all regions."""
    regions = state.discovered.regions
    own_region = regions.get(state.local_peer.region, [])
    others = sorted(
        (node for nodes in regions.values() for node in nodes),
        key=members.distribution_key,
    )
    usable = _usable([*own_region, *others], state)
    return usable[0] if usable else None


def _usable(
    nodes: list[peer.Peer],
    state: topology_state.TopologyState,
) -> list[peer.Peer]:
    return [
        node
        for node in nodes
        if node.address not in state.suspects
        and node.address != state.local_peer.address
    ]
