"""Tests of nodes that hold no accepted configuration."""

import json

import pytest

from medlarquay import ids, topology
from medlarquay.testing import simulated_mesh

_SETTLED_S = 10
# Time until a change is in force, in seconds.
_BOUND_S = 2.5
_DOCUMENT = json.dumps({
    'services': {'portal': {}},
    'routes': [{'host': 'portal.agency', 'service': 'portal'}],
})
_EMPTY = json.dumps({'services': {}, 'routes': []})
_INVALID = json.dumps({'services': {'portal': {}}, 'routes': [{}]})


def _peer(number: int) -> topology.Peer:
    return topology.Peer(
        instance=ids.InstanceId(f'node-{number}'),
        region=ids.RegionName(f'region-{number % 2}'),
        data_centre=ids.DataCentreName(f'centre-{number % 2}'),
        host=f'host-{number}',
        port=1,
    )


_PEERS = tuple(_peer(number) for number in range(6))


def _start(mesh: simulated_mesh.SimulatedMesh, peer: topology.Peer) -> None:
    mesh.start(peer, () if mesh.page_entries else _PEERS[:2])


@pytest.fixture(params=[0, 2], ids=['seeds', 'discovery'])
def mesh(request: pytest.FixtureRequest) -> simulated_mesh.SimulatedMesh:
    """Return a mesh without nodes, with seeds or discovery for starting ones."""
    return simulated_mesh.SimulatedMesh(seed=1, page_entries=request.param)


def _start_all(mesh: simulated_mesh.SimulatedMesh) -> None:
    for peer in _PEERS:
        _start(mesh, peer)
        mesh.register(peer)
    mesh.advance(_SETTLED_S)


def _publish(mesh: simulated_mesh.SimulatedMesh, document: str | None) -> int:
    return mesh.source.publish('teams', 'agency', document)


def test_fleet_starts_out_of_service_on_a_rejected_version(
    mesh: simulated_mesh.SimulatedMesh,
) -> None:
    """Guards against nodes that answer 404 for all routes after a restart.

    All processes were killed while the newest version was rejected.
    """
    _publish(mesh, _DOCUMENT)
    _start_all(mesh)
    _publish(mesh, _INVALID)
    mesh.advance(_SETTLED_S)
    for peer in _PEERS:
        mesh.kill(peer.address)
    for peer in _PEERS:
        _start(mesh, peer)
    mesh.advance(_SETTLED_S)
    assert not any(node.snapshot for node in mesh.nodes.values())
    revision = _publish(mesh, _DOCUMENT)
    mesh.advance(_BOUND_S)
    assert {node.revision for node in mesh.nodes.values()} == {revision}


@pytest.mark.parametrize('restarted', range(len(_PEERS)))
def test_restarted_node_learns_the_accepted_version_from_peers(
    mesh: simulated_mesh.SimulatedMesh, restarted: int
) -> None:
    """Guards against a node that knows no route while its peers serve them.

    Some of the nodes read the source for their regions.
    """
    _publish(mesh, _DOCUMENT)
    _start_all(mesh)
    _publish(mesh, _INVALID)
    mesh.advance(_SETTLED_S)
    peer = _PEERS[restarted]
    mesh.kill(peer.address)
    mesh.advance(1)
    _start(mesh, peer)
    mesh.advance(_SETTLED_S)
    snapshot = mesh.nodes[peer.address].snapshot
    assert snapshot is not None
    assert snapshot.is_configured('portal.agency')
    assert b'portal.agency' in snapshot.routes


def test_survivors_serve_and_teach_restarted_readers(
    mesh: simulated_mesh.SimulatedMesh,
) -> None:
    """Guards against the last accepted version being lost with its readers."""
    _publish(mesh, _DOCUMENT)
    _start_all(mesh)
    _publish(mesh, _INVALID)
    mesh.advance(_SETTLED_S)
    for peer in _PEERS[:-1]:
        mesh.kill(peer.address)
    for peer in _PEERS[:-1]:
        _start(mesh, peer)
    mesh.advance(2 * _SETTLED_S)
    for node in mesh.nodes.values():
        assert node.snapshot is not None
        assert node.snapshot.is_configured('portal.agency')


def test_start_without_source_stays_out_of_service(
    mesh: simulated_mesh.SimulatedMesh,
) -> None:
    """Guards against service without a configuration while the source is away."""
    _publish(mesh, _DOCUMENT)
    mesh.without_source = {peer.address for peer in _PEERS}
    _start_all(mesh)
    assert not any(node.snapshot for node in mesh.nodes.values())
    mesh.without_source = set()
    mesh.advance(_SETTLED_S)
    assert all(node.snapshot for node in mesh.nodes.values())


def test_empty_source_is_no_configuration(
    mesh: simulated_mesh.SimulatedMesh,
) -> None:
    """Guards against service before the operators published anything."""
    _start_all(mesh)
    assert not any(node.snapshot for node in mesh.nodes.values())
    _publish(mesh, _EMPTY)
    mesh.advance(_SETTLED_S)
    # An accepted document without routes is a configuration.
    for node in mesh.nodes.values():
        assert node.snapshot is not None
        assert node.snapshot.is_configured('portal.agency')


def test_deleted_document_takes_nodes_out_of_service(
    mesh: simulated_mesh.SimulatedMesh,
) -> None:
    """Guards against 404 for all routes after the last document is deleted."""
    _publish(mesh, _DOCUMENT)
    _start_all(mesh)
    _publish(mesh, None)
    mesh.advance(_BOUND_S)
    for node in mesh.nodes.values():
        assert node.snapshot is not None
        assert not node.snapshot.documents
        assert not node.snapshot.is_configured('portal.agency')


def test_only_hosts_of_an_unknown_team_count_as_unknown(
    mesh: simulated_mesh.SimulatedMesh,
) -> None:
    """Guards against 404 for one team, or 503 for another, at a partial start."""
    _publish(mesh, _INVALID)
    mesh.source.publish('teams', 'desk', _EMPTY)
    _start_all(mesh)
    for node in mesh.nodes.values():
        assert node.snapshot is not None
        assert not node.snapshot.is_configured('portal.agency')
        assert node.snapshot.is_configured('portal.desk')
