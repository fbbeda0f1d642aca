"""Distribution tree of 8,000 nodes and its calls to the source."""

import collections
import dataclasses
import random

from medlarquay import ids, replica, states, topology

_REGIONS = 4
_CENTRES = 4
_NODES = 500
# How long a watch waits for a change, in seconds.
_WATCH_S = 1.0
_MAX_CALLS_PER_S = 200


def _record(number: int) -> replica.InstanceRecord:
    region, rest = divmod(number, _CENTRES * _NODES)
    return replica.InstanceRecord(
        instance=ids.InstanceId(f'instance-{number}'),
        revision=ids.Revision(number + 1),
        team=ids.TeamName('agency'),
        service=ids.ServiceName('digest-portal'),
        region=ids.RegionName(f'region-{region}'),
        data_centre=ids.DataCentreName(f'{region}-{rest // _NODES}'),
        host=f'10.0.{number // 250}.{number % 250}',
        caller_port=1,
        peer_port=2,
        slots=1,
        state=states.InstanceState.LIVE,
    )


_RECORDS = tuple(_record(n) for n in range(_REGIONS * _CENTRES * _NODES))


def _peer(entry: replica.InstanceRecord) -> topology.Peer:
    return topology.Peer(
        instance=entry.instance,
        region=entry.region,
        data_centre=entry.data_centre,
        host=entry.host,
        port=entry.peer_port,
    )


def _choices(views: int, missing: float) -> dict[str, topology.UpstreamChoice]:
    """Return the choice of each node, based on a random one of the lists.

    Parameters
    ----------
    views : int
        Number of differing instance lists.
    missing : float
        Share of the instances that each list lacks.
    """
    randomness = random.Random(7)
    lists = [
        topology.Members(
            entry for entry in _RECORDS if randomness.random() >= missing
        )
        for _ in range(views)
    ]
    return {
        entry.instance: topology.choose_upstream(
            topology.TopologyState(
                local_peer=_peer(entry),
                seeds=(),
                members=randomness.choice(lists),
                suspects=frozenset(),
            ),
        )
        for entry in _RECORDS
    }


def _depth(choices: dict[str, topology.UpstreamChoice], instance: str) -> int:
    """Count the links from a node to its reader; fail on a cycle."""
    depth = 0
    while True:
        parent = choices[instance].parent
        if parent is None:
            return depth
        own_hash = topology.order_hash(ids.InstanceId(instance))
        assert topology.order_hash(parent.instance) < own_hash
        instance = parent.instance
        depth += 1


def _most_children(choices: dict[str, topology.UpstreamChoice]) -> int:
    counts = collections.Counter(
        choice.parent.instance
        for choice in choices.values()
        if choice.parent is not None
    )
    return max(counts.values())


def _reader_count(choices: dict[str, topology.UpstreamChoice]) -> int:
    modes = [choice.mode for choice in choices.values()]
    return modes.count(states.ReadingMode.READER)


def test_tree_with_equal_lists() -> None:
    """Guards against a tree deeper or wider than planned, or more readers."""
    choices = _choices(views=1, missing=0)
    assert max(_depth(choices, name) for name in choices) == 4
    assert _most_children(choices) <= 11
    assert _reader_count(choices) == 4


def test_tree_with_differing_lists() -> None:
    """Guards against cycles and overloaded parents when lists differ."""
    choices = _choices(views=20, missing=0.05)
    assert max(_depth(choices, name) for name in choices) <= 6
    assert _most_children(choices) <= 32
    assert _reader_count(choices) <= 16


def test_one_change_crosses_each_region_pair_once() -> None:
    """Guards against duplicate traffic between two regions."""
    region_of = {entry.instance: entry.region for entry in _RECORDS}
    choices = _choices(views=20, missing=0.05)
    crossing = [
        name
        for name, choice in choices.items()
        if choice.parent and choice.parent.region != region_of[name]
    ]
    assert not crossing
    readers = collections.Counter(
        region_of[name]
        for name, choice in _choices(views=1, missing=0).items()
        if choice.mode is states.ReadingMode.READER
    )
    assert set(readers.values()) == {1}


def _peak_calls(
    modes: list[tuple[states.ReadingMode, int]],
    *,
    answer_s: float = 0,
) -> int:
    """Return the highest number of calls in any second of two minutes.

    Parameters
    ----------
    modes : list of tuple
        Reading mode and number of trees read, for each node.
    answer_s : float
        Time until a read is answered, in seconds; a watch without a change
        takes ``_WATCH_S``.
    """
    randomness = random.Random(11)
    calls: collections.Counter[int] = collections.Counter()
    for mode, trees in modes:
        for burst in (topology.LIST_BURST, 1)[:trees]:
            limiter = topology.SourceLimiter(
                randomness=randomness,
                burst=burst,
            )
            now = randomness.uniform(0, 0.2)
            while now < 120:
                now = limiter.next_read(mode, now=now)
                calls[int(now)] += 1
                limiter.record_sent(now=now)
                now += answer_s
    return max(calls.values())


def test_calls_in_the_steady_state() -> None:
    """Guards against a call rate that grows with the number of nodes."""
    modes = [
        (choice.mode, 2)
        for choice in _choices(views=1, missing=0).values()
        if choice.mode is states.ReadingMode.READER
    ]
    assert _peak_calls(modes, answer_s=_WATCH_S) <= 10
    # Under continuous changes each watch is answered at once.
    assert _peak_calls(modes) <= 10 + 4 * topology.LIST_BURST


def test_calls_after_all_nodes_restart() -> None:
    """Guards against a thundering herd when all nodes start at once."""
    seeds = tuple(_peer(entry) for entry in _RECORDS[:: _CENTRES * _NODES])
    modes = []
    for entry in _RECORDS:
        choice = topology.choose_upstream(
            topology.TopologyState(
                local_peer=_peer(entry),
                seeds=seeds,
                members=topology.Members(()),
                suspects=frozenset(),
            ),
        )
        trees = 2 if choice.mode is states.ReadingMode.READER else 1
        modes.append((choice.mode, trees))
    assert _peak_calls(modes) <= _MAX_CALLS_PER_S


def test_calls_when_every_node_is_isolated() -> None:
    """Guards against 8,000 partitioned nodes that read as often as readers."""
    suspects = frozenset(_peer(entry).address for entry in _RECORDS)
    members = topology.Members(_RECORDS)
    modes = []
    for entry in _RECORDS:
        choice = topology.choose_upstream(
            topology.TopologyState(
                local_peer=_peer(entry),
                seeds=(),
                members=members,
                suspects=suspects,
            ),
        )
        trees = 2 if choice.mode is states.ReadingMode.READER else 1
        modes.append((choice.mode, trees))
    assert _peak_calls(modes) <= _MAX_CALLS_PER_S


def test_suspicion_expires() -> None:
    """Guards against a peer that is never tried again after a partition."""
    suspects = topology.Suspects(randomness=random.Random(1))
    now: float = 0
    for _ in range(10):
        deadline = suspects.mark('10.0.0.1:2', now=now)
        assert now < deadline <= now + 60
        now = deadline
        assert '10.0.0.1:2' not in suspects.current(now=now)


def test_parents_are_kept_when_list_changes() -> None:
    """Guards against one list change that moves many links of a data centre."""
    centre = [entry for entry in _RECORDS if entry.data_centre == '0-0']
    before = topology.Members(centre)
    removed = before.regions[centre[0].region][30]
    after = topology.Members(
        entry for entry in centre if entry.instance != removed.instance
    )
    moved = 0
    for entry in centre:
        state = topology.TopologyState(
            local_peer=_peer(entry),
            seeds=(),
            members=before,
            suspects=frozenset(),
        )
        parent = topology.choose_upstream(state).parent
        shifted = dataclasses.replace(state, members=after, parent=parent)
        moved += topology.choose_upstream(shifted).parent != parent
    # Only the children of the removed node move.
    assert moved <= topology.FAN_OUT
