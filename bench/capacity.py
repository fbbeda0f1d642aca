"""Cost of control messages, and the control load that results from it.

Prints one ``name=value`` per line: first the costs of one message measured in
this process (bytes and microseconds), then for each role of a node the control
bytes per second and the share of a core that result from them at the planned
size.
"""

import statistics
import time
import tracemalloc
from collections.abc import Callable

from bench import control_samples, planned_size
from medlarquay import codec, messages, replica, topology
from medlarquay.tasks import follower

__all__ = ('main',)

_ROUNDS = 201
_US_PER_SECOND = 1_000_000
_PERCENT = 100
_BYTES_PER_MB = 1 << 20
# Headers of a WebSocket frame, masked, and of TCP and IPv4 with timestamps.
_FRAME_OVERHEAD_BYTES = 8 + 52


def main() -> None:
    """Measure the costs of the messages and print them and the load."""
    samples = control_samples.ControlSamples()
    tracemalloc.start()
    samples.fill()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _print('replica_mb', used / _BYTES_PER_MB)
    whole_bytes = _whole_state_bytes(samples.local_replica)
    _print('whole_state_bytes', whole_bytes)
    costs = _measure(samples)
    for name, value in costs.items():
        _print(name, value)
    _print_loads(costs)


def _measure(samples: control_samples.ControlSamples) -> dict[str, float]:
    base = samples.local_replica.vector
    samples.publish_teams((7,), timeout_ms=2500)
    team_delta = samples.local_replica.delta_after(base)
    base = samples.local_replica.vector
    samples.publish_instances(range(17, 18), state='leaving')
    instance_delta = samples.local_replica.delta_after(base)
    return {
        **_measure_delta('team_change', team_delta, samples),
        **_measure_delta('instance_change', instance_delta, samples),
        **_measure_probe(samples.local_replica),
    }


def _measure_delta(
    name: str,
    delta: replica.Delta,
    samples: control_samples.ControlSamples,
) -> dict[str, float]:
    message = messages.Records(delta=delta)
    frame = codec.encode(message, now=0)
    return {
        f'{name}_bytes': len(frame) + _FRAME_OVERHEAD_BYTES,
        f'{name}_encode_us': _median_us(
            lambda: codec.encode(message, now=0),
        ),
        f'{name}_decode_us': _median_us(
            lambda: codec.decode(frame, now=0, peer='parent'),
        ),
        f'{name}_delta_us': _median_us(
            lambda: samples.local_replica.delta_after(delta.base),
        ),
    }


def _measure_probe(local_replica: replica.Replica) -> dict[str, float]:
    probe = messages.Probe(nonce=1)
    heartbeat = messages.Heartbeat(
        nonce=1,
        age_ms=900,
        list_age_ms=600,
        vector=local_replica.vector,
        digest=local_replica.digest,
    )
    probe_frame = codec.encode(probe, now=0)
    heartbeat_frame = codec.encode(heartbeat, now=0)
    return {
        'probe_bytes': len(probe_frame) + _FRAME_OVERHEAD_BYTES,
        'heartbeat_bytes': len(heartbeat_frame) + _FRAME_OVERHEAD_BYTES,
        'probe_us': _median_us(
            lambda: (
                codec.encode(probe, now=0),
                codec.decode(heartbeat_frame, now=0, peer='parent'),
            ),
        ),
        'heartbeat_us': _median_us(
            lambda: (
                codec.decode(probe_frame, now=0, peer='child'),
                codec.encode(heartbeat, now=0),
            ),
        ),
    }


def _whole_state_bytes(local_replica: replica.Replica) -> int:
    delta = local_replica.delta_after(replica.VersionVector())
    return sum(
        len(codec.encode(messages.Records(delta=part), now=0))
        for part in replica.split_delta(delta)
    )


def _print_loads(costs: dict[str, float]) -> None:
    roles = {
        'leaf': (1, 0),
        'relay': (1, topology.FAN_OUT),
        'reader': (0, topology.FAN_OUT + planned_size.REGIONS - 1),
    }
    for role, (parents, children) in roles.items():
        rate = _control_bytes_per_second(
            costs, parents=parents, children=children
        )
        _print(f'{role}_control_bytes_per_second', rate)
        _print(
            f'{role}_codec_core_percent',
            _core_percent(costs, parents=parents, children=children),
        )
    _print(
        'budget_control_bytes_per_second', planned_size.CONTROL_BYTES_PER_SECOND
    )
    _print('budget_control_core_percent', planned_size.CONTROL_CORE_PERCENT)


def _control_bytes_per_second(
    costs: dict[str, float],
    *,
    parents: int,
    children: int,
) -> float:
    """Return the bytes per second over all links, in both directions."""
    links = parents + children
    changes = (
        costs['team_change_bytes'] * planned_size.CHANGES_PER_SECOND
        + costs['instance_change_bytes']
        * planned_size.INSTANCE_CHANGES_PER_SECOND
    )
    probes = (
        costs['probe_bytes'] + costs['heartbeat_bytes']
    ) / follower.PROBE_INTERVAL_S
    return links * (changes + probes)


def _core_percent(
    costs: dict[str, float],
    *,
    parents: int,
    children: int,
) -> float:
    changes = sum(
        rate
        * (
            costs[f'{name}_decode_us']
            + costs[f'{name}_delta_us']
            + costs[f'{name}_encode_us']
        )
        for name, rate in (
            ('team_change', planned_size.CHANGES_PER_SECOND),
            ('instance_change', planned_size.INSTANCE_CHANGES_PER_SECOND),
        )
    )
    probes = (
        parents * costs['probe_us'] + children * costs['heartbeat_us']
    ) / follower.PROBE_INTERVAL_S
    return (changes + probes) / _US_PER_SECOND * _PERCENT


def _median_us(step: Callable[[], object]) -> float:
    durations = []
    for _ in range(_ROUNDS):
        started_at = time.perf_counter()
        step()
        durations.append(time.perf_counter() - started_at)
    return statistics.median(durations) * _US_PER_SECOND


def _print(name: str, value: float) -> None:
    print(f'{name}={value:.2f}')


if __name__ == '__main__':
    main()
