"""Starts of nodes that know no other node."""

import itertools
import json
import random

import pytest

from medlarquay import ids, topology
from medlarquay.testing import simulated_mesh

_REGIONS = ('north', 'south', 'west')
_CENTRES = 3
_NODES = 20
_ALL_NODES = len(_REGIONS) * _CENTRES * _NODES
# Fewer than there are nodes, as in a fleet that exceeds a page of the source.
_PAGE_ENTRIES = 40
# The slowest process of a start is ready this much later than the fastest one.
_START_SPREAD_S = 1.5
_START_S = 8
_READERS = len(_REGIONS)
_DOCUMENT = json.dumps({'services': {'desk': {}}, 'routes': []})


class _Fleet:
    """Fleet without seeds, of which all backend servers are listed."""

    def __init__(self, *, seed: int = 1) -> None:
        self.mesh = simulated_mesh.SimulatedMesh(
            seed=seed, page_entries=_PAGE_ENTRIES
        )
        self.randomness = random.Random(seed)
        places = itertools.product(_REGIONS, range(_CENTRES), range(_NODES))
        self.peers = [_peer(*place) for place in places]
        self.mesh.source.publish('teams', 'team', _DOCUMENT)
        for peer in self.peers:
            self.mesh.source.publish('instances', peer.instance, _entry(peer))

    def start(self, peers: list[topology.Peer], *, within_s: float) -> None:
        """Start nodes one after the other within some seconds."""
        shuffled = self.randomness.sample(peers, len(peers))
        for peer in shuffled:
            self.mesh.start(peer, ())
            self.mesh.advance(within_s / len(peers))

    def kill(self, peers: list[topology.Peer]) -> None:
        """Kill nodes at the same moment."""
        for peer in peers:
            self.mesh.kill(peer.address)

    def serving(self) -> int:
        """Return the number of nodes with the whole list in force."""
        return sum(
            node.snapshot is not None
            and len(node.snapshot.instances.by_service['team', 'desk'])
            == _ALL_NODES
            for node in self.mesh.nodes.values()
        )

    def reads_since(self, moment: float) -> int:
        """Return the number of reads of whole trees from a time on."""
        return sum(call >= moment for call in self.mesh.source.calls)


def _peer(region: str, centre: int, number: int) -> topology.Peer:
    return topology.Peer(
        instance=ids.InstanceId(f'{number}-{centre}-{region}'),
        region=ids.RegionName(region),
        data_centre=ids.DataCentreName(f'{region}-{centre}'),
        host=f'{region}-{centre}-{number}',
        port=1,
    )


def _entry(peer: topology.Peer) -> str:
    return json.dumps({
        'instance': peer.instance,
        'team': 'team',
        'service': 'desk',
        'region': peer.region,
        'data_centre': peer.data_centre,
        'host': peer.host,
        'caller_port': 1,
        'peer_port': peer.port,
        'slots': 1,
        'state': 'live',
    })


@pytest.mark.parametrize('seed', range(1, 3))
def test_start_of_all_nodes_reads_little(seed: int) -> None:
    """Guards against a start at which each node reads the whole source."""
    fleet = _Fleet(seed=seed)
    fleet.start(fleet.peers, within_s=_START_SPREAD_S)
    fleet.mesh.advance(_START_S - _START_SPREAD_S)
    assert fleet.serving() == _ALL_NODES
    assert fleet.mesh.discoveries <= 1.5 * _ALL_NODES
    steady = _READERS * 2 * (_START_S + 1)
    assert fleet.reads_since(0) <= steady + _ALL_NODES / 4
    assert not fleet.mesh.violations


def test_restart_of_half_of_the_nodes_reads_little() -> None:
    """Guards against a herd of restarted nodes that reads the source."""
    fleet = _Fleet()
    fleet.start(fleet.peers, within_s=_START_SPREAD_S)
    fleet.mesh.advance(_START_S)
    killed = fleet.randomness.sample(fleet.peers, _ALL_NODES // 2)
    fleet.kill(killed)
    discoveries = fleet.mesh.discoveries
    restarted_at = fleet.mesh.clock.seconds()
    fleet.start(killed, within_s=_START_SPREAD_S)
    fleet.mesh.advance(_START_S - _START_SPREAD_S)
    assert fleet.serving() == _ALL_NODES
    assert fleet.mesh.discoveries - discoveries <= 1.5 * len(killed)
    steady = _READERS * 2 * (_START_S + 1)
    reads = fleet.reads_since(restarted_at)
    assert reads <= steady + _ALL_NODES / 4
    assert not fleet.mesh.violations


def test_node_that_starts_alone_reads_the_source() -> None:
    """Guards against a node that waits for nodes that are not there."""
    fleet = _Fleet()
    fleet.start(fleet.peers[:1], within_s=0)
    fleet.mesh.advance(_START_S)
    assert fleet.serving() == 1


def test_restarted_node_serves_at_once() -> None:
    """Guards against a restart that waits although its parent lives."""
    fleet = _Fleet()
    fleet.start(fleet.peers, within_s=_START_SPREAD_S)
    fleet.mesh.advance(_START_S)
    for peer in fleet.peers[::7]:
        fleet.kill([peer])
        fleet.start([peer], within_s=0)
        fleet.mesh.advance(1)
        assert fleet.serving() == _ALL_NODES


def test_nodes_cut_off_from_the_others_read_the_source() -> None:
    """Guards against a start that needs a node out of reach."""
    fleet = _Fleet()
    fleet.start(fleet.peers, within_s=_START_SPREAD_S)
    fleet.mesh.advance(_START_S)
    lonely = fleet.peers[-1]
    fleet.kill([lonely])
    fleet.mesh.without_new_links.add(lonely.address)
    fleet.start([lonely], within_s=0)
    fleet.mesh.advance(_START_S)
    assert fleet.serving() == _ALL_NODES


def test_start_while_the_source_is_down_ends_with_its_return() -> None:
    """Guards against nodes that give up while the source is away."""
    fleet = _Fleet()
    fleet.mesh.source.down = True
    fleet.start(fleet.peers, within_s=_START_SPREAD_S)
    fleet.mesh.advance(5)
    assert not fleet.serving()
    fleet.mesh.source.down = False
    fleet.mesh.advance(_START_S)
    assert fleet.serving() == _ALL_NODES


def test_withdrawn_entries_of_an_old_page_are_not_served() -> None:
    """Guards against a left server that is in use again after a restart.

    The page by which nodes find each other may be old.
    """
    fleet = _Fleet()
    page = fleet.mesh.source.read_page(_PAGE_ENTRIES)
    fleet.mesh.source.read_page = lambda entries: page  # type: ignore[method-assign]
    gone = min(fleet.peers, key=lambda peer: peer.instance)
    assert gone.instance.encode() in page
    fleet.mesh.source.publish('instances', gone.instance, None)
    others = [peer for peer in fleet.peers if peer is not gone]
    fleet.start(others, within_s=_START_SPREAD_S)
    fleet.mesh.advance(_START_S)
    for node in fleet.mesh.nodes.values():
        backends = node.snapshot.instances.by_service['team', 'desk']
        assert gone.instance not in {entry.instance for entry in backends}
