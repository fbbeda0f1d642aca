"""Resident memory and time of the imports of a node.

Prints one ``name=value`` per line: ``import_mb_M`` and ``import_ms_M`` are
the medians over fresh processes of the memory and time that importing the
module ``M`` takes after the modules printed before it.
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
    """Measure in fresh processes and print the medians.

    With the argument ``child``, import the modules in this process and print
    their figures as JSON.
    """
    if _CHILD in arguments:
        print(json.dumps([_import(module) for module in _MODULES]))
        return
    rounds = [_measure() for _ in range(_ROUNDS)]
    for index, module in enumerate(_MODULES):
        used = statistics.median(figures[index][0] for figures in rounds)
        spent = statistics.median(figures[index][1] for figures in rounds)
        print(f'import_mb_{module}={used:.1f}')
        print(f'import_ms_{module}={spent:.0f}')


def _measure() -> list[tuple[float, float]]:
    # The daemon does not import pyOpenSSL either.
    code = (
        "import sys; sys.modules['OpenSSL'] = None;"
        'from bench import import_memory; import_memory.main(sys.argv)'
    )
    completed = subprocess.run(
        [sys.executable, '-c', code, _CHILD],
        check=True,
        capture_output=True,
    )
    return json.loads(completed.stdout)


def _import(module: str) -> tuple[float, float]:
    """Import a module; return the memory (MB) and the time (ms) it takes."""
    process = psutil.Process()
    before = process.memory_info().rss
    started_at = time.perf_counter()
    importlib.import_module(module)
    spent = time.perf_counter() - started_at
    gc.collect()
    used = process.memory_info().rss - before
    return used / _BYTES_PER_MB, spent * _MS_PER_SECOND


if __name__ == '__main__':
    main(sys.argv[1:])
