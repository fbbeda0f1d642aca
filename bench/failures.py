"""Failures of processes under load, each with its stated outcome."""

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
    """Run the scenarios; return 1 when an outcome differs from the stated.

    Parameters
    ----------
    names : list of str
        Scenarios to run; all without.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for name, act in failure_scenarios.SCENARIOS.items():
        if not names or name in names:
            failed += _run(name, act)
    print(f'failures_failed={failed}')
    return int(failed > 0)


def _run(
    name: str,
    act: Callable[[scenario.Scenario], scenario_result.ScenarioResult],
) -> int:
    started_at = time.monotonic()
    with cluster.Cluster() as running:
        try:
            result = _act(running, act)
        except (OSError, RuntimeError):
            traceback.print_exc()
            print(f'failure_{name}=error')
            return 1
    return _show(name, result, time.monotonic() - started_at)


def _act(
    running: cluster.Cluster,
    act: Callable[[scenario.Scenario], scenario_result.ScenarioResult],
) -> scenario_result.ScenarioResult:
    prepared = scenario.Scenario(running)
    prepared.prepare()
    return act(prepared)


def _show(
    name: str,
    result: scenario_result.ScenarioResult,
    seconds: float,
) -> int:
    compared = testing.compare(told=result.told, ran=result.ran)
    told = ' '.join(
        f'{key} {count}' for key, count in sorted(compared.told.items())
    )
    print(f'failure_{name}_told={told}')
    if compared.differences:
        report.show_differences(compared)
    for problem in result.problems:
        print(f'failure_{name}_problem={problem}')
    failed = bool(compared.differences or result.problems)
    print(f'failure_{name}={"failed" if failed else "passed"}')
    print(f'failure_{name}_seconds={seconds:.0f}', flush=True)
    return int(failed)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
