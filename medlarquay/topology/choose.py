"""Choice of the parent and of the nodes that read the source."""

import dataclasses
from collections.abc import Iterable

from medlarquay import states
from medlarquay.topology import choice, members, peer, situation

__all__ = ('FAN_OUT', 'choose')

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


def choose(known: situation.Situation) -> choice.Choice:
    """Choose whom to follow and whether to read the source.

    A parent in the own region always precedes the child in the distribution
    order, which no list influences, so no cycle can form.
    """
    chosen = _choose(known)
    parent = known.parent
    if known.stale and parent is not None and chosen.parent == parent:
        return _choose_fresher(known, parent)
    if parent is None or chosen.parent in {None, parent}:
        return chosen
    # A parent that is fresh is left for none that is not.
    return dataclasses.replace(chosen, must_be_fresh=True)


def _choose_fresher(
    known: situation.Situation,
    parent: peer.Peer,
) -> choice.Choice:
    """Look for a fresher parent while the present one is followed.

    The source may be down, and then there is none, so few nodes of a region
    read it beside their parents.
    """
    others = dataclasses.replace(
        known,
        suspects=known.suspects | {parent.address},
    )
    chosen = _choose(others)
    if chosen.mode is states.ReadingMode.NONE:
        return dataclasses.replace(chosen, must_be_fresh=True)
    before = known.members.before(known.own)
    if len(before) <= _MAX_BEFORE_SECOND_READER and parent in before:
        return choice.Choice(parent=parent, mode=states.ReadingMode.READER)
    return _choose(known)


def _choose(known: situation.Situation) -> choice.Choice:
    if not known.members:
        return _bootstrap(known)
    local = _usable(known.members.before_in_centre(known.own), known)
    if local:
        return _follow(_by_position(local, known.parent))
    before = known.members.before(known.own)
    usable = _usable(before, known)
    if usable:
        return _follow(usable[0])
    if len(before) > _MAX_SUSPECTED and not known.children:
        return _isolated(known)
    return _read(known)


def _usable(
    nodes: list[peer.Peer],
    known: situation.Situation,
) -> list[peer.Peer]:
    if not known.suspects:
        return nodes
    return [node for node in nodes if node.address not in known.suspects]


def _follow(parent: peer.Peer) -> choice.Choice:
    return choice.Choice(parent=parent, mode=states.ReadingMode.NONE)


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


def _read(known: situation.Situation) -> choice.Choice:
    parent = None
    if not known.source_reachable:
        parent = _other_reader(known)
    return choice.Choice(
        parent=parent,
        mode=states.ReadingMode.READER,
        must_be_fresh=True,
    )


def _other_reader(known: situation.Situation) -> peer.Peer | None:
    readers = [
        reader
        for region, nodes in known.members.regions.items()
        if region != known.own.region
        and (reader := _first(nodes, known.suspects)) is not None
    ]
    # Each follows the next in the distribution order, and the last the first.
    # Two readers that the source turns away then never follow each other, so
    # what one reader can read reaches all.
    own = members.order_of(known.own)
    later = [reader for reader in readers if members.order_of(reader) > own]
    return min(later or readers, key=members.order_of, default=None)


def _first(
    nodes: Iterable[peer.Peer],
    suspects: frozenset[str],
) -> peer.Peer | None:
    for node in nodes:
        if node.address not in suspects:
            return node
    return None


def _isolated(known: situation.Situation) -> choice.Choice:
    return choice.Choice(
        parent=_seed(known),
        mode=states.ReadingMode.ISOLATED,
    )


def _bootstrap(known: situation.Situation) -> choice.Choice:
    addresses = {seed.address for seed in known.seeds}
    # Seeds are few and named by the operators, so they may read at once. A
    # node without seeds has nobody else to ask.
    entitled = not addresses or known.own.address in addresses
    mode = states.ReadingMode.ISOLATED
    if entitled:
        mode = states.ReadingMode.READER
    return choice.Choice(parent=_seed(known), mode=mode)


def _seed(known: situation.Situation) -> peer.Peer | None:
    others = [seed for seed in known.seeds if seed.address != known.own.address]
    if known.parent in others and known.parent is not None:
        if known.parent.address not in known.suspects:
            return known.parent
    return _first(others, known.suspects)
