"""Replays of distribution failures on simulated clocks.

A trace is a JSON file with the failure that it guards against, the nodes and
the steps. ``at`` is the time of a step in seconds; steps whose ``do`` begins
with ``expect`` are assertions.
"""

import itertools
import json
import math
import pathlib
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import pytest

from medlarquay import ids, topology
from medlarquay.testing import simulated_mesh

_TRACES = sorted(
    pathlib.Path(__file__).parent.glob('distribution_traces/*.json')
)


class Replay:
    """Simulated mesh and nodes of one trace."""

    def __init__(self, trace: dict[str, Any]) -> None:
        self.mesh = simulated_mesh.SimulatedMesh(seed=trace.get('seed', 1))
        places = itertools.product(
            trace['regions'],
            range(trace['centres']),
            range(trace['nodes']),
        )
        peers = [_peer(*place) for place in places]
        self.peers = {peer.address: peer for peer in peers}
        all_peers = list(self.peers.values())
        per_region = trace['centres'] * trace['nodes']
        self._seeds = tuple(all_peers[::per_region])
        self._seeds_are_all_others = trace.get('seeds') == 'others'
        self.marked: dict[str, list[str]] = {}

    def seeds(self, address: str) -> tuple[topology.Peer, ...]:
        """Return the seeds of a node, the one of its own region first."""
        if self._seeds_are_all_others:
            others = dict(self.peers)
            others.pop(address)
            return tuple(others.values())
        region = self.peers[address].region
        return tuple(
            sorted(self._seeds, key=lambda seed: seed.region != region),
        )

    def select(self, selector: str) -> list[str]:
        """Return the addresses for a mark, ``all`` or an address prefix."""
        marked = self.marked.get(selector)
        if marked is not None:
            return list(marked)
        if selector == 'all':
            return list(self.peers)
        return [
            address for address in self.peers if address.startswith(selector)
        ]


def _peer(region: str, centre: int, number: int) -> topology.Peer:
    return topology.Peer(
        instance=ids.InstanceId(f'{region}-{centre}-{number}'),
        region=ids.RegionName(region),
        data_centre=ids.DataCentreName(f'{region}-{centre}'),
        host=f'{region}.{centre}.{number}',
        port=1,
    )


def _publish(replay: Replay, step: dict[str, Any]) -> None:
    route = {'host': 'digest-portal.agency', 'service': 'digest-portal'}
    content = {
        'services': {'digest-portal': {'queue_limit': step['limit']}},
        'routes': [route],
    }
    replay.mesh.source.publish('teams', 'agency', json.dumps(content))


def _publish_bad(replay: Replay, step: dict[str, Any]) -> None:
    replay.mesh.source.publish('teams', 'agency', '{')


def _start(replay: Replay, step: dict[str, Any]) -> None:
    for address in replay.select(step['nodes']):
        replay.mesh.start(replay.peers[address], replay.seeds(address))
        if step.get('register', True):
            replay.mesh.register(replay.peers[address])


def _mark_reader(replay: Replay, step: dict[str, Any]) -> None:
    """Mark the reader of a region as ``reader``, its other nodes as ``others``.

    The mark ``first_two`` is set on the reader and the node after it, and
    ``rest`` on the other nodes.
    """
    nodes = sorted(
        (peer for peer in replay.peers.values() if peer.region == step['of']),
        key=lambda peer: topology.order_hash(peer.instance),
    )
    replay.marked['reader'] = [nodes[0].address]
    replay.marked['others'] = [node.address for node in nodes[1:]]
    replay.marked['first_two'] = [node.address for node in nodes[:2]]
    replay.marked['rest'] = [node.address for node in nodes[2:]]


def _mark_parent(replay: Replay, step: dict[str, Any]) -> None:
    """Mark a parent that is not a reader, ``parent``, and its ``child``."""
    for address, node in replay.mesh.nodes.items():
        parent_link = node.tasks.follower.current
        if parent_link is None:
            continue
        parent = replay.mesh.nodes[parent_link.state.parent.address]
        if parent.tasks.follower.current is not None:
            replay.marked['parent'] = [parent.peer.address]
            replay.marked['child'] = [address]
            return
    raise AssertionError('no node has a parent that is not a reader')


def _kill(replay: Replay, step: dict[str, Any]) -> None:
    for address in replay.select(step['nodes']):
        replay.mesh.kill(address)


def _pause(replay: Replay, step: dict[str, Any]) -> None:
    for address in replay.select(step['nodes']):
        replay.mesh.pause(address)


def _resume(replay: Replay, step: dict[str, Any]) -> None:
    for address in replay.select(step['nodes']):
        replay.mesh.resume(address)


def _cut(replay: Replay, step: dict[str, Any]) -> None:
    replay.mesh.partition(set(replay.select(step['nodes'])))


def _heal(replay: Replay, step: dict[str, Any]) -> None:
    replay.mesh.partition(set())


def _source(replay: Replay, step: dict[str, Any]) -> None:
    source = replay.mesh.source
    if step['state'] == 'remember':
        source.save_stale_values()
    else:
        source.stale = step['state'] == 'stale'
        source.down = step['state'] == 'down'


def _cut_source(replay: Replay, step: dict[str, Any]) -> None:
    replay.mesh.without_source = set(replay.select(step['nodes']))


def _saturate(replay: Replay, step: dict[str, Any]) -> None:
    """Keep the open links of some nodes, but let them open no new ones."""
    nodes = set(replay.select(step['nodes']))
    replay.mesh.without_source = nodes
    replay.mesh.without_new_links = nodes


def _expect_revision(replay: Replay, step: dict[str, Any]) -> None:
    revisions = {
        address: node.revision
        for address, node in replay.mesh.nodes.items()
        if address in replay.select(step['nodes'])
    }
    assert revisions
    assert set(revisions.values()) == {step['revision']}, revisions


def _expect_age(replay: Replay, step: dict[str, Any]) -> None:
    chosen = replay.select(step['nodes'])
    ages = {
        address: node.configuration_age_s
        for address, node in replay.mesh.nodes.items()
        if address in chosen
    }
    wrong = {
        address: age
        for address, age in ages.items()
        if not step.get('above', -1) < age <= step.get('below', math.inf)
    }
    assert ages
    assert not wrong


def _expect_calls(replay: Replay, step: dict[str, Any]) -> None:
    seconds = [int(at) for at in replay.mesh.source.calls]
    peak = max((seconds.count(second) for second in seconds), default=0)
    assert peak <= step['peak']


def _expect_crossings(replay: Replay, step: dict[str, Any]) -> None:
    assert max(replay.mesh.region_crossings.values(), default=0) <= step['most']


def _expect_counted(replay: Replay, step: dict[str, Any]) -> None:
    counted = [
        address
        for address in replay.select(step['nodes'])
        for member, count in replay.mesh.nodes[
            address
        ].tasks.configuration.counters.counts.items()
        if member.value == step['event'] and count
    ]
    assert counted


_STEPS: Mapping[
    str,
    Callable[[Replay, dict[str, Any]], None],
] = MappingProxyType({
    'publish': _publish,
    'publish_bad': _publish_bad,
    'start': _start,
    'mark_reader': _mark_reader,
    'mark_parent': _mark_parent,
    'kill': _kill,
    'pause': _pause,
    'resume': _resume,
    'cut': _cut,
    'heal': _heal,
    'source': _source,
    'cut_source': _cut_source,
    'saturate': _saturate,
    'expect_revision': _expect_revision,
    'expect_age': _expect_age,
    'expect_calls': _expect_calls,
    'expect_crossings': _expect_crossings,
    'expect_counted': _expect_counted,
})


@pytest.mark.parametrize('path', _TRACES, ids=lambda path: path.stem)
def test_trace(path: pathlib.Path) -> None:
    """Guards against the failure that the trace names."""
    trace = json.loads(path.read_text())
    replay = Replay(trace)
    for step in trace['steps']:
        replay.mesh.advance(step['at'] - replay.mesh.clock.seconds())
        _STEPS[step['do']](replay, step)
    # At every step the mesh checks that no revision decreases and that the
    # routes of each snapshot lead to services of the same snapshot.
    assert not replay.mesh.violations
