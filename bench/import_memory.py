"""Resident memory and time of the imports of a node.

Prints one ``name=value`` per line: ``import_mb_M`` and ``import_ms_M`` are
the medians of what importing the module ``M`` adds, after the modules above
it, in fresh processes.
"""

import gc
import importlib
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence

import psutil

__all__ = ('main',)

_ROUNDS = 5
_BYTES_PER_MB = 1_000_000
_MS_PER_SECOND = 1000
_MODULES = (
    'twisted.internet.reactor',
    'medlarquay.tasks.router',
    'twisted.web.server',
    'klein',
    'treq',
    'opentelemetry.sdk.metrics',
    'opentelemetry.exporter.prometheus',
)
_CHILD = 'child'


def main(arguments: Sequence[str]) -> None:
    """Measure in fresh processes and print the medians."""
    if _CHILD in arguments:
        print(json.dumps([_import(module) for module in _MODULES]))
        return
    rounds = [_measure() for _ in range(_ROUNDS)]
    for index, module in enumerate(_MODULES):
        used = statistics.median(found[index][0] for found in rounds)
        spent = statistics.median(found[index][1] for found in rounds)
        print(f'import_mb_{module}={used:.1f}')
        print(f'import_ms_{module}={spent:.0f}')


def _measure() -> list[tuple[float, float]]:
    # The daemon does without pyOpenSSL, too.
    code = (
        "import sys; sys.modules['OpenSSL'] = None;"
        'from bench import import_memory; import_memory.main(sys.argv)'
    )
    done = subprocess.run(
        [sys.executable, '-c', code, _CHILD],
        check=True,
        capture_output=True,
    )
    return json.loads(done.stdout)


def _import(module: str) -> tuple[float, float]:
    process = psutil.Process()
    before = process.memory_info().rss
    begun_at = time.perf_counter()
    importlib.import_module(module)
    spent = time.perf_counter() - begun_at
    gc.collect()
    used = process.memory_info().rss - before
    return used / _BYTES_PER_MB, spent * _MS_PER_SECOND


if __name__ == '__main__':
    main(sys.argv[1:])
