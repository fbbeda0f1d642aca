"""Loads of the benchmarks."""

import dataclasses
import statistics
import time
from collections.abc import Iterable

from bench import http_json
from medlarquay import testing

__all__ = ('finish_load', 'percentile', 'run_load', 'start_load')

_GRACE_S = 20


def start_load(caller: str, plan: testing.LoadPlan) -> float:
    """Start a load at a caller; return the time by which it must be over."""
    http_json.request_json(f'{caller}/-/run', dataclasses.asdict(plan))
    return time.monotonic() + plan.seconds + _GRACE_S


def finish_load(caller: str, until: float) -> list[testing.ToldEntry]:
    """Wait for the end of a load and return what the callers were told."""
    while not http_json.request_json(f'{caller}/-/state')['over']:
        if time.monotonic() > until:
            break
        time.sleep(0.1)
    entries = http_json.request_json(f'{caller}/-/record')
    return [testing.ToldEntry(**entry) for entry in entries]


def run_load(
    caller: str,
    plan: testing.LoadPlan,
) -> list[testing.ToldEntry]:
    """Run a load to its end."""
    return finish_load(caller, start_load(caller, plan))


def percentile(values: Iterable[float], percent: int) -> float:
    """Return a percentile, interpolated; 0 without values."""
    found = list(values)
    if len(found) < 2:
        return found[0] if found else 0
    return statistics.quantiles(found, n=100, method='inclusive')[percent - 1]
