"""Forwarding by klein and treq compared with httptools on Twisted protocols."""

import psutil

from bench import cluster, instance, load_runner, managed_process
from medlarquay import testing

__all__ = ('main',)

_TEAM = 'agency'
_SERVICE = 'digest-portal'
_HOST = f'{_SERVICE}.{_TEAM}'
_RATE = 125
_SECONDS = 15
_DIRECT = 'direct'
_US_PER_SECOND = 1000000


def main() -> None:
    """Print latencies and CPU time of both forwarders in one run."""
    with cluster.Cluster() as running:
        backend = instance.Instance(
            name='backend',
            team=_TEAM,
            service=_SERVICE,
            region='palermo',
            data_centre='palermo-1',
            slots=18,
            ports={'caller-port': running.ports.take()},
        )
        running.start_backend(backend, {}, quiet=True)
        cluster.wait_backend(backend)
        address = backend.backend_address
        forwarders = {
            'klein': running.start(
                'bench.klein_forwarder',
                'klein',
                f'--target={address}',
            ),
            'httptools': running.start(
                'bench.plain_proxy',
                'httptools',
                f'--service={_HOST}={address}',
            ),
        }
        _measure(running, address, forwarders)


def _measure(
    running: cluster.Cluster,
    address: str,
    forwarders: dict[str, managed_process.ManagedProcess],
) -> None:
    addresses = {
        name: f'127.0.0.1:{process.port()}'
        for name, process in forwarders.items()
    }
    plan = testing.LoadPlan(
        seed=1,
        seconds=_SECONDS,
        mixes=[
            testing.LoadMix(
                name=name,
                nodes=[node],
                host=_HOST,
                rate=_RATE,
                path='/digest',
            )
            for name, node in ({_DIRECT: address} | addresses).items()
        ],
    )
    used_s = {name: _cpu_s(proxy) for name, proxy in forwarders.items()}
    caller_entries = load_runner.run_load(running.start_caller(), plan)
    for name, process in forwarders.items():
        used_s[name] = _cpu_s(process) - used_s[name]
    for mix in (_DIRECT, *forwarders):
        latencies = [
            entry.latency_ms for entry in caller_entries if entry.mix == mix
        ]
        print(f'{mix}_p50_ms={load_runner.percentile(latencies, 50):.3f}')
        print(f'{mix}_p99_ms={load_runner.percentile(latencies, 99):.3f}')
    for forwarder, spent_s in used_s.items():
        calls = sum(1 for entry in caller_entries if entry.mix == forwarder)
        spent_us = spent_s / calls * _US_PER_SECOND
        print(f'{forwarder}_cpu_us_per_call={spent_us:.0f}')


def _cpu_s(process: managed_process.ManagedProcess) -> float:
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


if __name__ == '__main__':
    main()
