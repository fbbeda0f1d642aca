"""Runs the failure scenarios and checks their outcomes.

Usage: ``python -m bench.failures [NAME...]``. Prints for each scenario what
callers were told, the differences from what backend servers ran, the checks
that did not hold, and whether it passed.
"""

import signal
import sys
import time
import traceback
from collections.abc import Callable

from bench import (
    cluster,
    failure_scenarios,
    report,
    scenario,
    scenario_result,
)
from medlarquay import testing

__all__ = ('main',)


def main(names: list[str] | None = None) -> int:
    """Run the scenarios; return 1 when one of them failed, else 0.

    Parameters
    ----------
    names : list of str, optional
        Scenarios to run; all of them when empty.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for name, run_scenario in failure_scenarios.SCENARIOS.items():
        if not names or name in names:
            failed += _run(name, run_scenario)
    print(f'failures_failed={failed}')
    return int(failed > 0)


def _run(
    name: str,
    run_scenario: Callable[[scenario.Scenario], scenario_result.ScenarioResult],
) -> int:
    started_at = time.monotonic()
    with cluster.Cluster() as running:
        try:
            result = _run_prepared(running, run_scenario)
        except (OSError, RuntimeError):
            traceback.print_exc()
            print(f'failure_{name}=error')
            return 1
    return _print_result(name, result, time.monotonic() - started_at)


def _run_prepared(
    running: cluster.Cluster,
    run_scenario: Callable[[scenario.Scenario], scenario_result.ScenarioResult],
) -> scenario_result.ScenarioResult:
    prepared = scenario.Scenario(running)
    prepared.prepare()
    return run_scenario(prepared)


def _print_result(
    name: str,
    result: scenario_result.ScenarioResult,
    seconds: float,
) -> int:
    comparison = testing.compare(
        caller_entries=result.caller_entries, run_entries=result.run_entries
    )
    counts = ' '.join(
        f'{key} {count}' for key, count in sorted(comparison.told.items())
    )
    print(f'failure_{name}_told={counts}')
    if comparison.differences:
        report.print_differences(comparison)
    for problem in result.problems:
        print(f'failure_{name}_problem={problem}')
    failed = bool(comparison.differences or result.problems)
    print(f'failure_{name}={"failed" if failed else "passed"}')
    print(f'failure_{name}_seconds={seconds:.0f}', flush=True)
    return int(failed)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
