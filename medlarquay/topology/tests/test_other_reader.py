"""Choice of the parent of a reader that cannot read the source."""

import itertools

from medlarquay import ids, replica, states, topology

_REGIONS = ('north', 'south', 'west')


def _record(region: str, number: int) -> replica.InstanceRecord:
    return replica.InstanceRecord(
        instance=ids.InstanceId(f'{region}-{number}'),
        revision=ids.Revision(1),
        team=ids.TeamName('team'),
        service=ids.ServiceName('desk'),
        region=ids.RegionName(region),
        data_centre=ids.DataCentreName(f'{region}-a'),
        host=f'{region}-{number}',
        caller_port=1,
        peer_port=2,
        slots=2,
        state=states.InstanceState.LIVE,
    )


def _chosen_parent(
    members: topology.Members,
    reader: topology.Peer,
) -> ids.InstanceId:
    chosen = topology.choose_upstream(
        topology.TopologyState(
            local_peer=reader,
            seeds=(),
            members=members,
            suspects=frozenset(),
            source_reachable=False,
        ),
    )
    assert chosen.parent is not None
    return chosen.parent.instance


def test_readers_without_the_source_do_not_follow_each_other() -> None:
    """Guards against two readers that follow each other.

    When the source rejects the readers of two regions and each follows the
    other, neither receives changes: a change was 2.5 s late in both regions
    (run hunt-d07a-7).
    """
    for numbers in itertools.product(range(4), repeat=len(_REGIONS)):
        members = topology.Members([
            _record(region, number)
            for region, number in zip(_REGIONS, numbers, strict=True)
        ])
        readers = [nodes[0] for nodes in members.regions.values()]
        parents = {
            reader.instance: _chosen_parent(members, reader)
            for reader in readers
        }
        # Each reader that the source rejects reaches one that it serves.
        assert len(set(parents.values())) == len(readers)
        assert all(parents[parents[reader]] != reader for reader in parents)
