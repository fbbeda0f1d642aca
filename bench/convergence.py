"""Measures how a configuration change reaches 64 nodes in 4 regions.

Prints one ``name=value`` a line. Bytes are of encoded messages, without the
headers of WebSocket, HTTP and TCP.
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
_PAUSE_S = 0.4
_STEADY_S = 6
_PARTITION_S = 8
_LIMIT_S = 40
_SOURCE_REGION = 'north'


def main() -> int:
    """Run the measurement; return 0."""
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


def _show(name: str, value: float) -> None:
    print(f'{name}={value:.3f}'.rstrip('0').rstrip('.'), flush=True)


def _names(mesh: control_mesh.ControlMesh) -> list[str]:
    return [
        name
        for name, one in mesh.nodes.items()
        if one.node is not None and one.node.running
    ]


def _start(mesh: control_mesh.ControlMesh, revision: int, step: str) -> None:
    began = time.time()
    mesh.start_all()
    mesh.wait(revision, list(mesh.nodes), _LIMIT_S)
    _show(f'all_in_force_after_{step}_s', time.time() - began)
    time.sleep(2)
    calls = [
        count
        for second, count in mesh.calls_by_second().items()
        if float(second) >= began - 1
    ]
    _show(f'source_calls_per_second_peak_after_{step}', max(calls))


def _measure_steady(mesh: control_mesh.ControlMesh) -> None:
    time.sleep(3)
    before = _total(mesh)
    began = time.time()
    time.sleep(_STEADY_S)
    calls = mesh.calls_by_second()
    seconds = [
        calls.get(str(second), 0)
        for second in range(int(began) + 1, int(began) + _STEADY_S)
    ]
    _show('source_calls_per_second_steady', statistics.mean(seconds))
    spent = _total(mesh) - before
    per_node = spent / _STEADY_S / len(_names(mesh))
    _show('control_bytes_per_second_per_node', per_node)


def _total(mesh: control_mesh.ControlMesh) -> int:
    return sum(
        sum(counts['sent'].values()) + sum(counts['received'].values())
        for counts in mesh.control_bytes().values()
    )


def _crossed(mesh: control_mesh.ControlMesh) -> int:
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
        at = time.time()
        published.append((mesh.publish(), at))
        time.sleep(_PAUSE_S)
    mesh.wait(published[-1][0], names, _LIMIT_S)
    slowest = [
        max((mesh.in_force_at(node, revision) or at) - at for node in names)
        for revision, at in published
    ]
    _show(f'{name}_p50_s', statistics.median(slowest))
    _show(f'{name}_p99_s', statistics.quantiles(slowest, n=100)[-2])


def _measure_changes(mesh: control_mesh.ControlMesh) -> None:
    time.sleep(1)
    crossed = _crossed(mesh)
    _publish_and_time(mesh, _names(mesh), _CHANGES, 'convergence')
    time.sleep(1.5)
    between_nodes = (_crossed(mesh) - crossed) / _CHANGES
    latest = mesh.publish()
    # One answer of the source to the reader of each other region.
    answer = _read(mesh, 'teams', latest - 1)
    readers = len(mesh.regions) - 1
    _show(
        'cross_region_bytes_per_change',
        between_nodes + readers * len(answer),
    )
    remote = [
        one for one in mesh.nodes.values() if one.region != _SOURCE_REGION
    ]
    _show('whole_snapshot_bytes', len(remote) * _whole_length(mesh))


def _read(mesh: control_mesh.ControlMesh, tree: str, after: int) -> bytes:
    url = f'{mesh.running.source_url}/v1/watch/{tree}?after={after}'
    with urlopen(url, timeout=10) as answer:  # noqa: S310
        return bytes(answer.read())


def _whole_length(mesh: control_mesh.ControlMesh) -> int:
    """Return the length of all records in one compressed message."""
    held = replica.Replica()
    for tree in replica.SourceTree:
        found = source_fetcher.parse_answer(
            _read(mesh, tree.value, 0),
            tree=tree,
            after=held.vector.tree_revision,
            requested_at=0,
        )
        replica.apply_source(
            held,
            tree=tree,
            after=replica.VersionVector().tree_revision,
            revision=found.revision,
            entries=found.entries,
        )
    whole = held.delta_after(replica.VersionVector())
    return len(codec.encode(messages.Records(delta=whole), now=0))


def _measure_reader_killed(mesh: control_mesh.ControlMesh) -> None:
    mesh.kill([mesh.reader_of('east')])
    _publish_and_time(
        mesh,
        _names(mesh),
        _CHANGES,
        'convergence_reader_killed',
    )


def _measure_partition(mesh: control_mesh.ControlMesh) -> None:
    """Stop the processes of one data centre, then let them continue."""
    stopped = [
        name
        for name, one in mesh.nodes.items()
        if one.data_centre == 'south-dc1'
    ]
    mesh.send(stopped, signal.SIGSTOP)
    others = [name for name in _names(mesh) if name not in stopped]
    latest = 0
    for team in range(5):
        latest = mesh.publish(team)
    time.sleep(_PARTITION_S)
    mesh.wait(latest, others, _LIMIT_S)
    resumed = time.time()
    mesh.send(stopped, signal.SIGCONT)
    mesh.wait(latest, stopped, _LIMIT_S)
    times = [mesh.in_force_at(name, latest) or resumed for name in stopped]
    _show('catch_up_seconds', max(times) - resumed)


def _measure_restart(mesh: control_mesh.ControlMesh) -> None:
    latest = mesh.publish()
    mesh.kill(_names(mesh))
    _start(mesh, latest, 'restart')


if __name__ == '__main__':
    sys.exit(main())
