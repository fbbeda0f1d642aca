"""The nodes of the instance list in the distribution order."""

import bisect
from collections.abc import Iterable, Mapping

from medlarquay import ids, replica, states
from medlarquay.topology import order_hash, peer

__all__ = ('Members', 'distribution_key')

_Centre = tuple[ids.RegionName, ids.DataCentreName]


class Members:
    """The nodes of the instance list in the distribution order.

    The order is that of the hashes of the node names; see ``order_hash``.

    Parameters
    ----------
    instances : iterable of InstanceRecord
        Instance list without tombstones. Instances in the state leaving are
        skipped, since their nodes are about to stop.
    """

    def __init__(self, instances: Iterable[replica.InstanceRecord]) -> None:
        self._regions: dict[ids.RegionName, list[peer.Peer]] = {}
        self._centres: dict[_Centre, list[peer.Peer]] = {}
        nodes = [
            _peer_from_record(entry)
            for entry in instances
            if entry.state is states.InstanceState.LIVE
        ]
        for node in sorted(nodes, key=distribution_key):
            self._regions.setdefault(node.region, []).append(node)
            centre = (node.region, node.data_centre)
            self._centres.setdefault(centre, []).append(node)

    def __bool__(self) -> bool:
        """Return whether any node is known."""
        return bool(self._regions)

    def __len__(self) -> int:
        """Return the number of nodes."""
        return sum(len(nodes) for nodes in self._regions.values())

    @property
    def regions(self) -> Mapping[ids.RegionName, list[peer.Peer]]:
        """Nodes of each region, in the distribution order."""
        return self._regions

    @property
    def peers(self) -> list[peer.Peer]:
        """Nodes of all regions."""
        return [node for nodes in self._regions.values() for node in nodes]

    def includes(self, node: peer.Peer) -> bool:
        """Return whether a node is listed in its region."""
        return node in self._regions.get(node.region, [])

    def preceding_in_region(self, node: peer.Peer) -> list[peer.Peer]:
        """Return the nodes of its region that precede a node."""
        return _preceding(self._regions.get(node.region, []), node)

    def preceding_in_centre(self, node: peer.Peer) -> list[peer.Peer]:
        """Return the nodes of its data centre that precede a node."""
        centre = (node.region, node.data_centre)
        return _preceding(self._centres.get(centre, []), node)


def distribution_key(node: peer.Peer) -> tuple[int, str]:
    """Return the sort key of the distribution order.

    The instance id breaks ties between equal hashes, so the order is total.
    """
    return order_hash.order_hash(node.instance), node.instance


def _preceding(nodes: list[peer.Peer], node: peer.Peer) -> list[peer.Peer]:
    return nodes[
        : bisect.bisect_left(
            nodes, distribution_key(node), key=distribution_key
        )
    ]


def _peer_from_record(entry: replica.InstanceRecord) -> peer.Peer:
    return peer.Peer(
        instance=entry.node_name,
        region=entry.region,
        data_centre=entry.data_centre,
        host=entry.host,
        port=entry.peer_port,
    )
