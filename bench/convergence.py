"""Measures the distribution of configuration changes to 64 nodes in 4 regions.

Prints one ``name=value`` per line. Bytes are those of encoded messages,
without the headers of WebSocket, HTTP and TCP.
"""

import signal
import statistics
import sys
import time
from urllib.request import urlopen

from bench import cluster, control_mesh
from medlarquay import codec, messages, replica
from medlarquay.tasks import source_fetcher

__all__ = ('main',)

_CHANGES = 30
_CHANGE_INTERVAL_S = 0.4
_STEADY_S = 6
_PARTITION_S = 8
_TIMEOUT_S = 40
_SOURCE_REGION = 'north'


def main() -> int:
    """Run the measurements; return 0."""
    with cluster.Cluster() as running:
        mesh = control_mesh.ControlMesh(running)
        mesh.prepare()
        latest = mesh.publish()
        _start(mesh, latest, 'start')
        _measure_steady(mesh)
        _measure_changes(mesh)
        _measure_reader_killed(mesh)
        _measure_partition(mesh)
        _measure_restart(mesh)
    return 0


def _print(name: str, value: float) -> None:
    print(f'{name}={value:.3f}'.rstrip('0').rstrip('.'), flush=True)


def _running_nodes(mesh: control_mesh.ControlMesh) -> list[str]:
    return [
        name
        for name, item in mesh.nodes.items()
        if item.node is not None and item.node.running
    ]


def _start(mesh: control_mesh.ControlMesh, revision: int, step: str) -> None:
    started_at = time.time()
    mesh.start_all()
    mesh.wait_in_force(revision, list(mesh.nodes), _TIMEOUT_S)
    _print(f'all_in_force_after_{step}_s', time.time() - started_at)
    time.sleep(2)
    calls_per_second = [
        count
        for second, count in mesh.calls_by_second().items()
        if float(second) >= started_at - 1
    ]
    _print(f'source_calls_per_second_peak_after_{step}', max(calls_per_second))


def _measure_steady(mesh: control_mesh.ControlMesh) -> None:
    time.sleep(3)
    before = _control_bytes(mesh)
    started_at = time.time()
    time.sleep(_STEADY_S)
    calls_by_second = mesh.calls_by_second()
    calls_per_second = [
        calls_by_second.get(str(second), 0)
        for second in range(int(started_at) + 1, int(started_at) + _STEADY_S)
    ]
    _print('source_calls_per_second_steady', statistics.mean(calls_per_second))
    control_bytes = _control_bytes(mesh) - before
    per_node = control_bytes / _STEADY_S / len(_running_nodes(mesh))
    _print('control_bytes_per_second_per_node', per_node)


def _control_bytes(mesh: control_mesh.ControlMesh) -> int:
    return sum(
        sum(counts['sent'].values()) + sum(counts['received'].values())
        for counts in mesh.control_bytes().values()
    )


def _cross_region_bytes(mesh: control_mesh.ControlMesh) -> int:
    return sum(
        length
        for name, counts in mesh.control_bytes().items()
        for region, length in counts['received'].items()
        if region not in {'', mesh.nodes[name].region}
    )


def _publish_and_time(
    mesh: control_mesh.ControlMesh,
    names: list[str],
    changes: int,
    name: str,
) -> None:
    published = []
    for _ in range(changes):
        published_at = time.time()
        published.append((mesh.publish(), published_at))
        time.sleep(_CHANGE_INTERVAL_S)
    mesh.wait_in_force(published[-1][0], names, _TIMEOUT_S)
    slowest = [
        max(
            (mesh.in_force_at(node, revision) or published_at) - published_at
            for node in names
        )
        for revision, published_at in published
    ]
    _print(f'{name}_p50_s', statistics.median(slowest))
    _print(f'{name}_p99_s', statistics.quantiles(slowest, n=100)[-2])


def _measure_changes(mesh: control_mesh.ControlMesh) -> None:
    time.sleep(1)
    bytes_before = _cross_region_bytes(mesh)
    _publish_and_time(mesh, _running_nodes(mesh), _CHANGES, 'convergence')
    time.sleep(1.5)
    bytes_between_nodes = (_cross_region_bytes(mesh) - bytes_before) / _CHANGES
    latest = mesh.publish()
    # Each of the other regions has a reader that gets one answer of the source.
    answer = _read_source(mesh, 'teams', latest - 1)
    readers = len(mesh.regions) - 1
    _print(
        'cross_region_bytes_per_change',
        bytes_between_nodes + readers * len(answer),
    )
    remote_nodes = [
        item for item in mesh.nodes.values() if item.region != _SOURCE_REGION
    ]
    _print('whole_snapshot_bytes', len(remote_nodes) * _snapshot_bytes(mesh))


def _read_source(
    mesh: control_mesh.ControlMesh, tree: str, after: int
) -> bytes:
    url = f'{mesh.cluster.source_url}/v1/watch/{tree}?after={after}'
    with urlopen(url, timeout=10) as answer:  # noqa: S310
        return bytes(answer.read())


def _snapshot_bytes(mesh: control_mesh.ControlMesh) -> int:
    """Return the bytes of one compressed message with all records."""
    local_replica = replica.Replica()
    for tree in replica.SourceTree:
        parsed = source_fetcher.parse_answer(
            _read_source(mesh, tree.value, 0),
            tree=tree,
            after=local_replica.vector.tree_revision,
            requested_at=0,
        )
        replica.apply_source(
            local_replica,
            tree=tree,
            after=replica.VersionVector().tree_revision,
            revision=parsed.revision,
            entries=parsed.entries,
        )
    delta = local_replica.delta_after(replica.VersionVector())
    return len(codec.encode(messages.Records(delta=delta), now=0))


def _measure_reader_killed(mesh: control_mesh.ControlMesh) -> None:
    mesh.kill([mesh.reader_of('east')])
    _publish_and_time(
        mesh,
        _running_nodes(mesh),
        _CHANGES,
        'convergence_reader_killed',
    )


def _measure_partition(mesh: control_mesh.ControlMesh) -> None:
    """Measure how long a data centre takes to catch up after a partition.

    The partition is emulated by pausing the processes of its nodes (SIGSTOP).
    """
    paused = [
        name
        for name, item in mesh.nodes.items()
        if item.data_centre == 'south-dc1'
    ]
    mesh.signal_nodes(paused, signal.SIGSTOP)
    other_nodes = [name for name in _running_nodes(mesh) if name not in paused]
    latest = 0
    for team in range(5):
        latest = mesh.publish(team)
    time.sleep(_PARTITION_S)
    mesh.wait_in_force(latest, other_nodes, _TIMEOUT_S)
    resumed_at = time.time()
    mesh.signal_nodes(paused, signal.SIGCONT)
    mesh.wait_in_force(latest, paused, _TIMEOUT_S)
    in_force_at = [
        mesh.in_force_at(name, latest) or resumed_at for name in paused
    ]
    _print('catch_up_seconds', max(in_force_at) - resumed_at)


def _measure_restart(mesh: control_mesh.ControlMesh) -> None:
    latest = mesh.publish()
    mesh.kill(_running_nodes(mesh))
    _start(mesh, latest, 'restart')


if __name__ == '__main__':
    sys.exit(main())
