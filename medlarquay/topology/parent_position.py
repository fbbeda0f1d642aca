"""Position of the parent in the distribution order."""

from medlarquay.topology import peer

__all__ = ('FAN_OUT', 'parent_by_position')

#: Children of a node when the instance lists of all nodes agree.
FAN_OUT = 8
# A parent is kept while its position differs from the computed one by at most
# this many places, so that one change of the instance list does not move most
# links of a data centre.
_POSITION_TOLERANCE = 1


def parent_by_position(
    preceding: list[peer.Peer],
    current: peer.Peer | None,
) -> peer.Peer:
    """Return the parent of a node.

    Parameters
    ----------
    preceding : list of Peer
        Usable nodes of its data centre that precede it, in order; not empty.
    current : Peer or None
        Parent that it follows now.
    """
    exact = (len(preceding) - 1) // FAN_OUT
    lowest = max(0, exact - _POSITION_TOLERANCE)
    near = preceding[lowest : exact + _POSITION_TOLERANCE + 1]
    if current is not None and current in near:
        return current
    return preceding[exact]
