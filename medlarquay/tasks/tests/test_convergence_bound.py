"""Time until a change is in force while what carries changes has failed."""

import enum
import itertools
import json
import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

import pytest

from medlarquay import ids, topology
from medlarquay.testing import simulated_mesh

# Shortest time in which a deployment expects a change in force, in seconds.
_BOUND_S = 2.5
# Time from the writing of a change to its acknowledgement, in seconds; the
# bound counts from the latter.
_ACKNOWLEDGED_S = 0.1
_SETTLED_S = 12
_STEP_S = 0.05
_REGIONS = ('north', 'east', 'west')
_CENTRES = 2
_NODES_PER_CENTRE = 3
_DRAWS = 6
# Times from the failure to the change, in seconds.
_DELAYS_S = (0.05, 0.5, 1)


class _Failure(enum.Enum):
    """What happens to some nodes."""

    KILLED = 'killed'
    PAUSED = 'paused'
    WITHOUT_POWER = 'without power'
    WITHOUT_ANSWERS = 'without answers of the source'


class _Fleet:
    """Nodes of three regions that follow a source.

    Parameters
    ----------
    draw : int
        Seed of the names, and so of the distribution order.
    """

    def __init__(self, *, draw: int) -> None:
        self.random = random.Random(draw)
        salt = self.random.randrange(10**6)
        self.peers = [
            _peer(region, centre, f'{salt}-{number}')
            for region, centre, number in itertools.product(
                _REGIONS, range(_CENTRES), range(_NODES_PER_CENTRE)
            )
        ]
        self.mesh = simulated_mesh.SimulatedMesh(seed=draw)
        self.publish(1)
        seeds = tuple(self.peers[:: _CENTRES * _NODES_PER_CENTRE])
        for peer in self.peers:
            self.mesh.start(peer, seeds)
            self.mesh.register(peer)
        self.mesh.advance(_SETTLED_S + self.random.random())

    def publish(self, limit: int) -> int:
        """Publish a document and return its revision."""
        document = {
            'services': {'digest-portal': {'queue_limit': limit}},
            'routes': [
                {'host': 'digest-portal.agency', 'service': 'digest-portal'},
            ],
        }
        return self.mesh.source.publish('teams', 'agency', json.dumps(document))

    def readers(self) -> list[str]:
        """Return the addresses of the nodes that read the source."""
        ordered = sorted(
            self.peers,
            key=lambda peer: topology.order_hash(peer.instance),
            reverse=True,
        )
        first = {peer.region: peer.address for peer in ordered}
        return list(first.values())

    def draw(self, count: int) -> list[str]:
        """Return the addresses of some nodes."""
        chosen = self.random.sample(self.peers, count)
        return [peer.address for peer in chosen]

    def fail(self, failure: _Failure, addresses: list[str]) -> None:
        """Let some nodes fail."""
        if failure is _Failure.WITHOUT_POWER:
            self.mesh.without_power = set(addresses)
        elif failure is _Failure.WITHOUT_ANSWERS:
            self.mesh.without_answers = set(addresses)
        else:
            act = _ACTIONS[failure]
            for address in addresses:
                act(self.mesh, address)

    def lateness(self, revision: int, failed: list[str]) -> float:
        """Return when the other nodes hold a revision, in seconds from now."""
        others = {peer.address for peer in self.peers}.difference(failed)
        started_at = self.mesh.clock.seconds()
        while self._any_lacks(others, revision):
            self.mesh.advance(_STEP_S)
            if self.mesh.clock.seconds() - started_at > 4 * _BOUND_S:
                break
        return self.mesh.clock.seconds() - started_at

    def _any_lacks(self, addresses: set[str], revision: int) -> bool:
        return any(
            self.mesh.nodes[address].revision < revision
            for address in addresses
        )


_ACTIONS: Mapping[
    _Failure, Callable[[simulated_mesh.SimulatedMesh, str], None]
] = MappingProxyType({
    _Failure.KILLED: simulated_mesh.SimulatedMesh.kill,
    _Failure.PAUSED: simulated_mesh.SimulatedMesh.pause,
})


def _peer(region: str, centre: int, number: str) -> topology.Peer:
    return topology.Peer(
        instance=ids.InstanceId(f'{region}-{centre}-{number}'),
        region=ids.RegionName(region),
        data_centre=ids.DataCentreName(f'{region}-{centre}'),
        host=f'{region}.{centre}.{number}',
        port=1,
    )


def _lateness(
    failure: _Failure, count: int, draw: int, *, readers: bool
) -> float:
    fleet = _Fleet(draw=draw)
    failed = fleet.readers()[:count] if readers else fleet.draw(count)
    fleet.fail(failure, failed)
    fleet.mesh.advance(_DELAYS_S[draw % len(_DELAYS_S)])
    lateness = fleet.lateness(fleet.publish(2), failed)
    assert not fleet.mesh.violations
    return lateness - _ACKNOWLEDGED_S


@pytest.mark.parametrize(
    ('failure', 'count'),
    [
        (_Failure.KILLED, 10),
        (_Failure.PAUSED, 2),
        (_Failure.PAUSED, 4),
        (_Failure.WITHOUT_POWER, 2),
        (_Failure.WITHOUT_POWER, 5),
        (_Failure.WITHOUT_POWER, 10),
        (_Failure.WITHOUT_ANSWERS, 6),
    ],
)
def test_change_is_in_force_in_time_although_nodes_fail(
    failure: _Failure, count: int
) -> None:
    """Guards against waits for failed parents that add up past the bound."""
    late = {
        draw: lateness
        for draw in range(_DRAWS)
        if (lateness := _lateness(failure, count, draw, readers=False))
        > _BOUND_S
    }
    assert not late


@pytest.mark.parametrize('failure', list(_Failure))
@pytest.mark.parametrize('count', [1, 2, 3])
def test_change_is_in_force_in_time_although_readers_fail(
    failure: _Failure, count: int
) -> None:
    """Guards against changes that wait for the readers of some regions."""
    late = {
        draw: lateness
        for draw in range(_DRAWS)
        if (lateness := _lateness(failure, count, draw, readers=True))
        > _BOUND_S
    }
    assert not late
