"""Runs the benchmarks one after the other.

They print one ``name=value`` per line.
"""

import importlib
import pathlib
import sys
import time
import traceback

__all__ = ('main',)

_BENCHMARKS = (
    'call_path',
    'footprint',
    'capacity',
    'flood',
    'convergence',
    'admission_replay',
    'retry_replay',
    'owner_choice_replay',
    'routing_cost',
    'snapshot_size',
    'large_configuration',
    'failures',
)


def main() -> int:
    """Run the benchmarks; return 1 when one of them failed, else 0."""
    failed = 0
    for name in _BENCHMARKS:
        if not (pathlib.Path(__file__).parent / f'{name}.py').exists():
            continue
        started_at = time.monotonic()
        failed += _run(name)
        print(f'{name}_seconds={time.monotonic() - started_at:.0f}', flush=True)
    print(f'benchmarks_failed={failed}')
    return int(failed > 0)


def _run(name: str) -> int:
    """Run one benchmark; return 1 when it failed, else 0.

    Catches every exception, so that the others still run.
    """
    try:
        code = importlib.import_module(f'bench.{name}').main()
    except Exception:
        traceback.print_exc()
        return 1
    return int(bool(code))


if __name__ == '__main__':
    sys.exit(main())
