"""Choice of the parent and of the nodes that read the source."""

import dataclasses
from collections.abc import Iterable

from medlarquay import states
from medlarquay.topology import members, peer, topology_state, upstream_choice

__all__ = ('FAN_OUT', 'choose_upstream')

#: Children of a node when all lists agree.
FAN_OUT = 8
# A parent is kept while it is this many positions from the exact one, so
# that one change of the list does not move most links of a data centre.
_TOLERANCE = 1
# A node that suspects more nodes than this before it, and that nobody
# follows, is more likely cut off than the next reader of its region. It
# reads rarely, which bounds the calls when all nodes are cut off alike.
_MAX_SUSPECTED = 4
# Beside a stale parent the second and third node of a region read as well.
# All parents are stale while the source is down, and each read counts there.
_MAX_BEFORE_SECOND_READER = 2


def choose_upstream(
    known: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    """Choose whom to follow and whether to read the source.

    A parent in the own region always precedes the child in the distribution
    order, which no list influences, so no cycle can form.
    """
    chosen = _choose(known)
    parent = known.parent
    if parent is not None and chosen.parent == parent:
        if known.parent_stale and chosen.mode is not states.ReadingMode.READER:
            return _choose_fresher(known, parent)
    if chosen.parent in {None, parent}:
        return chosen
    if known.backup_reader:
        # It is fresh by itself until the new parent has answered.
        chosen = dataclasses.replace(chosen, mode=states.ReadingMode.READER)
    elif parent is None:
        return chosen
    # What is fresh is left for nothing that is not.
    return dataclasses.replace(chosen, must_be_fresh=True)


def _choose_fresher(
    known: topology_state.TopologyState,
    parent: peer.Peer,
) -> upstream_choice.UpstreamChoice:
    """Look for a fresher parent while the present one is followed.

    The source may be down, and then there is none, so few nodes of a region
    read it beside their parents.
    """
    others = dataclasses.replace(
        known,
        suspects=known.suspects | {parent.address},
    )
    chosen = _choose(others)
    before = known.members.preceding_in_region(known.local_peer)
    reads = len(before) <= _MAX_BEFORE_SECOND_READER and parent in before
    if reads or known.backup_reader:
        mode = states.ReadingMode.READER
    else:
        mode = states.ReadingMode.NONE
    if chosen.mode is states.ReadingMode.NONE:
        return dataclasses.replace(chosen, mode=mode, must_be_fresh=True)
    return upstream_choice.UpstreamChoice(parent=parent, mode=mode)


def _choose(
    known: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    if not known.members:
        return _bootstrap(known)
    local = _usable(known.members.preceding_in_centre(known.local_peer), known)
    if local:
        return _follow(_by_position(local, known.parent))
    before = known.members.preceding_in_region(known.local_peer)
    usable = _usable(before, known)
    if usable:
        return _follow(usable[0])
    if len(before) > _MAX_SUSPECTED and not known.child_count:
        return _isolated(known)
    return _read(known)


def _usable(
    nodes: list[peer.Peer],
    known: topology_state.TopologyState,
) -> list[peer.Peer]:
    if not known.suspects:
        return nodes
    return [node for node in nodes if node.address not in known.suspects]


def _follow(parent: peer.Peer) -> upstream_choice.UpstreamChoice:
    return upstream_choice.UpstreamChoice(
        parent=parent,
        mode=states.ReadingMode.NONE,
    )


def _by_position(
    local: list[peer.Peer],
    current: peer.Peer | None,
) -> peer.Peer:
    exact = (len(local) - 1) // FAN_OUT
    lowest = max(0, exact - _TOLERANCE)
    near = local[lowest : exact + _TOLERANCE + 1]
    if current is not None and current in near:
        return current
    return local[exact]


def _read(
    known: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    parent = None
    if not known.source_reachable:
        parent = _other_reader(known)
    return upstream_choice.UpstreamChoice(
        parent=parent,
        mode=states.ReadingMode.READER,
        must_be_fresh=True,
    )


def _other_reader(known: topology_state.TopologyState) -> peer.Peer | None:
    readers = [
        reader
        for region, nodes in known.members.regions.items()
        if region != known.local_peer.region
        and (reader := _first(nodes, known.suspects)) is not None
    ]
    # Each follows the next in the distribution order, and the last the first.
    # Two readers that the source turns away then never follow each other, so
    # what one reader can read reaches all.
    local_peer = members.distribution_key(known.local_peer)
    later = [
        reader
        for reader in readers
        if members.distribution_key(reader) > local_peer
    ]
    return min(later or readers, key=members.distribution_key, default=None)


def _first(
    nodes: Iterable[peer.Peer],
    suspects: frozenset[str],
) -> peer.Peer | None:
    for node in nodes:
        if node.address not in suspects:
            return node
    return None


def _isolated(
    known: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    return upstream_choice.UpstreamChoice(
        parent=_seed(known),
        mode=states.ReadingMode.ISOLATED,
    )


def _bootstrap(
    known: topology_state.TopologyState,
) -> upstream_choice.UpstreamChoice:
    addresses = {seed.address for seed in known.seeds}
    # Seeds are few and named by the operators, so they may read at once. A
    # node without seeds has nobody else to ask.
    entitled = not addresses or known.local_peer.address in addresses
    mode = states.ReadingMode.ISOLATED
    if entitled:
        mode = states.ReadingMode.READER
    return upstream_choice.UpstreamChoice(parent=_seed(known), mode=mode)


def _seed(known: topology_state.TopologyState) -> peer.Peer | None:
    others = [
        seed for seed in known.seeds if seed.address != known.local_peer.address
    ]
    if known.parent in others and known.parent is not None:
        if known.parent.address not in known.suspects:
            return known.parent
    return _first(others, known.suspects)
