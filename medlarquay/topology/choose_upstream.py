"""Choice of the parent and of the nodes that read the source."""

import dataclasses
from collections.abc import Iterable

from medlarquay import states
from medlarquay.topology import (
    choose_discovered,
    members,
    parent_position,
    peer,
    topology_state,
    upstream_choice,
)

__all__ = ('choose_upstream',)

# A node without children that suspects more predecessors than this is more
# likely partitioned itself than the next reader of its region. It then reads
# the source at the low rate of isolated nodes, which bounds the calls when
# all nodes are partitioned at once.
_MAX_SUSPECTED_PREDECESSORS = 4
# In a fleet of at most this size, nodes that suspect all their predecessors read
# like readers: two calls a second each stay within 200.
_MAX_UNLIMITED_FLEET = 100
# The second and third node of a region also read the source while their
# parent is stale. The number is small because all parents are stale during an
# outage of the source, when every read adds to its load.
_BACKUP_READERS = 2


def choose_upstream(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    """Choose the parent to follow and whether to read the source.

    A parent in the same region always precedes its child in the distribution
    order. The order does not depend on the instance list, so no cycle can
    form.

    Parameters
    ----------
    state : TopologyState
        What the node knows about its peers and the source.

    Returns
    -------
    UpstreamChoice
        Parent and reading mode.
    """
    chosen = _choose_parent(state)
    reads_nothing = chosen.mode is states.ReadingMode.NONE
    if state.members and state.silent_candidates and reads_nothing:
        # Trying one silent node after the other takes longer than a change
        # may take; until a parent answers, this node reads the source.
        chosen = dataclasses.replace(chosen, mode=states.ReadingMode.READER)
    return dataclasses.replace(
        chosen,
        parent_reads_source=_reads_source(chosen.parent, state),
    )


def _choose_parent(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    chosen = _choose(state)
    parent = state.parent
    if parent is not None and chosen.parent == parent:
        if state.parent_stale and chosen.mode is not states.ReadingMode.READER:
            return _choose_fresher(state, parent)
    if chosen.parent in {None, parent}:
        return chosen
    if state.backup_reader:
        # Keep reading until the new parent has answered: until then the
        # reads are what keeps this node fresh.
        chosen = dataclasses.replace(chosen, mode=states.ReadingMode.READER)
    elif parent is None:
        return chosen
    # Do not switch from fresh data to a parent whose data may be stale.
    return dataclasses.replace(chosen, must_be_fresh=True)


def _reads_source(
    parent: peer.Peer | None,
    state: topology_state.TopologyState,
) -> bool:
    if parent is None:
        return False
    return parent in state.members.regions.get(parent.region, [])[:1]


def _choose_fresher(
    state: topology_state.TopologyState,
    parent: peer.Peer,
) -> upstream_choice.UpstreamChoice:
    """Look for a fresher parent while the stale one is still followed.

    There is no fresher parent while the source is down, so only the first
    few nodes of a region read the source in addition to their parent.
    """
    state_without_parent = dataclasses.replace(
        state,
        suspects=state.suspects | {parent.address},
    )
    chosen = _choose(state_without_parent)
    preceding = state.members.preceding_in_region(state.local_peer)
    reads = len(preceding) <= _BACKUP_READERS and parent in preceding
    if reads or state.backup_reader:
        mode = states.ReadingMode.READER
    else:
        mode = states.ReadingMode.NONE
    if chosen.mode is states.ReadingMode.NONE:
        return dataclasses.replace(chosen, mode=mode, must_be_fresh=True)
    return upstream_choice.UpstreamChoice(parent=parent, mode=mode)


def _choose(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    if not state.members:
        return _bootstrap(state)
    in_centre = _not_suspected(
        state.members.preceding_in_centre(state.local_peer),
        state,
    )
    if in_centre:
        return _follow(
            parent_position.parent_by_position(in_centre, state.parent)
        )
    preceding = state.members.preceding_in_region(state.local_peer)
    usable = _not_suspected(preceding, state)
    if usable:
        return _follow(usable[0])
    is_isolated = (
        len(preceding) > _MAX_SUSPECTED_PREDECESSORS
        and not state.child_count
        and len(state.members) > _MAX_UNLIMITED_FLEET
    )
    if is_isolated:
        return _read_isolated(state)
    return _read_as_reader(state)


def _not_suspected(
    nodes: list[peer.Peer],
    state: topology_state.TopologyState,
) -> list[peer.Peer]:
    if not state.suspects:
        return nodes
    return [node for node in nodes if node.address not in state.suspects]


def _follow(parent: peer.Peer) -> upstream_choice.UpstreamChoice:
    return upstream_choice.UpstreamChoice(
        parent=parent,
        mode=states.ReadingMode.NONE,
    )


def _read_as_reader(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    parent = None
    if not state.source_reachable:
        parent = _reader_of_other_region(state)
    return upstream_choice.UpstreamChoice(
        parent=parent,
        mode=states.ReadingMode.READER,
        must_be_fresh=True,
    )


def _reader_of_other_region(
    state: topology_state.TopologyState,
) -> peer.Peer | None:
    readers = [
        reader
        for region, nodes in state.members.regions.items()
        if region != state.local_peer.region
        and (reader := _first_not_suspected(nodes, state.suspects)) is not None
    ]
    # The readers form a ring in the distribution order: each follows the next
    # one, and the last follows the first. So two readers that cannot reach the
    # source never follow each other, and what one reader can read reaches all
    # regions.
    own_key = members.distribution_key(state.local_peer)
    later = [
        reader
        for reader in readers
        if members.distribution_key(reader) > own_key
    ]
    return min(later or readers, key=members.distribution_key, default=None)


def _first_not_suspected(
    nodes: Iterable[peer.Peer],
    suspects: frozenset[str],
) -> peer.Peer | None:
    for node in nodes:
        if node.address not in suspects:
            return node
    return None


def _read_isolated(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    return upstream_choice.UpstreamChoice(
        parent=_choose_seed(state),
        mode=states.ReadingMode.ISOLATED,
    )


def _bootstrap(
    state: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    addresses = {seed.address for seed in state.seeds}
    if state.can_discover and not addresses:
        return choose_discovered.choose_discovered(state)
    # Seeds are few and named by the operators, so they may read at once. A
    # node without seeds has no other node to follow, so it may as well.
    may_read = not addresses or state.local_peer.address in addresses
    mode = states.ReadingMode.ISOLATED
    if may_read:
        mode = states.ReadingMode.READER
    return upstream_choice.UpstreamChoice(parent=_choose_seed(state), mode=mode)


def _choose_seed(state: topology_state.TopologyState) -> peer.Peer | None:
    others = [
        seed for seed in state.seeds if seed.address != state.local_peer.address
    ]
    if state.parent in others and state.parent is not None:
        if state.parent.address not in state.suspects:
            return state.parent
    return _first_not_suspected(others, state.suspects)
