"""The nodes of the instance list in the distribution order."""

import bisect
from collections.abc import Iterable, Mapping

from medlarquay import ids, replica, states
from medlarquay.topology import order_hash, peer

__all__ = ('Members', 'distribution_key')

_Place = tuple[ids.RegionName, ids.DataCentreName]


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
        self._centres: dict[_Place, list[peer.Peer]] = {}
        nodes = [
            _peer_of(entry)
            for entry in instances
            if entry.state is states.InstanceState.LIVE
        ]
        for node in sorted(nodes, key=distribution_key):
            self._regions.setdefault(node.region, []).append(node)
            place = (node.region, node.data_centre)
            self._centres.setdefault(place, []).append(node)

    def __bool__(self) -> bool:
        """Return whether any node is known."""
        return bool(self._regions)

    @property
    def regions(self) -> Mapping[ids.RegionName, list[peer.Peer]]:
        """Nodes of each region, in the distribution order."""
        return self._regions

    def preceding_in_region(self, own: peer.Peer) -> list[peer.Peer]:
        """Return the nodes of the own region that precede the own node."""
        return _preceding(self._regions.get(own.region, []), own)

    def preceding_in_centre(self, own: peer.Peer) -> list[peer.Peer]:
        """Return the nodes of the own data centre that precede it."""
        place = (own.region, own.data_centre)
        return _preceding(self._centres.get(place, []), own)


def distribution_key(node: peer.Peer) -> tuple[int, str]:
    """Return the sort key of the distribution order.

    The id decides between equal hashes, so the order is total.
    """
    return order_hash.order_hash(node.instance), node.instance


def _preceding(nodes: list[peer.Peer], own: peer.Peer) -> list[peer.Peer]:
    return nodes[
        : bisect.bisect_left(nodes, distribution_key(own), key=distribution_key)
    ]


def _peer_of(entry: replica.InstanceRecord) -> peer.Peer:
    return peer.Peer(
        instance=entry.node_name,
        region=entry.region,
        data_centre=entry.data_centre,
        host=entry.host,
        port=entry.peer_port,
    )
