"""The nodes of the instance list in the distribution order."""

from collections.abc import Iterable, Mapping

from medlarquay import ids, replica, states
from medlarquay.topology import peer, rank_value

__all__ = ('Members',)


class Members:
    """The nodes of the instance list in the distribution order.

    Parameters
    ----------
    instances : iterable of InstanceRecord
        Instance list without tombstones. Leaving instances are left out:
        their nodes are about to stop.
    """

    def __init__(self, instances: Iterable[replica.InstanceRecord]) -> None:
        self._regions: dict[ids.RegionName, list[peer.Peer]] = {}
        for entry in instances:
            if entry.state is states.InstanceState.LIVE:
                self._regions.setdefault(entry.region, []).append(
                    _peer_of(entry),
                )
        for found in self._regions.values():
            found.sort(key=order_of)

    def __bool__(self) -> bool:
        """Return whether any node is known."""
        return bool(self._regions)

    @property
    def regions(self) -> Mapping[ids.RegionName, list[peer.Peer]]:
        """Nodes of each region, in the distribution order."""
        return self._regions

    def before(self, own: peer.Peer) -> list[peer.Peer]:
        """Return the nodes of the own region that precede the own node."""
        limit = order_of(own)
        return [
            found
            for found in self._regions.get(own.region, ())
            if order_of(found) < limit
        ]


def order_of(node: peer.Peer) -> tuple[int, str]:
    """Return the sort key of the distribution order.

    The id decides between equal hashes, so the order is total.
    """
    return rank_value.rank_value(node.instance), node.instance


def _peer_of(entry: replica.InstanceRecord) -> peer.Peer:
    return peer.Peer(
        instance=entry.instance,
        region=entry.region,
        data_centre=entry.data_centre,
        host=entry.host,
        port=entry.peer_port,
    )
