"""Runs loads at a caller process and collects what callers were told."""

import dataclasses
import statistics
import time
from collections.abc import Iterable

from bench import http_json
from medlarquay import testing

__all__ = ('finish_load', 'percentile', 'run_load', 'start_load')

_GRACE_S = 20


def start_load(caller: str, plan: testing.LoadPlan) -> float:
    """Start a load at a caller process.

    Parameters
    ----------
    caller : str
        URL of the caller process.
    plan : LoadPlan
        Load to run.

    Returns
    -------
    float
        When to stop waiting for its end, seconds on the monotonic clock.
    """
    http_json.request_json(f'{caller}/-/run', dataclasses.asdict(plan))
    return time.monotonic() + plan.seconds + _GRACE_S


def finish_load(caller: str, give_up_at: float) -> list[testing.ToldEntry]:
    """Wait for the end of a load and return what callers were told.

    Parameters
    ----------
    caller : str
        URL of the caller process.
    give_up_at : float
        When to stop waiting, seconds on the monotonic clock.
    """
    while not http_json.request_json(f'{caller}/-/state')['over']:
        if time.monotonic() > give_up_at:
            break
        time.sleep(0.1)
    entries = http_json.request_json(f'{caller}/-/record')
    return [testing.ToldEntry(**entry) for entry in entries]


def run_load(
    caller: str,
    plan: testing.LoadPlan,
) -> list[testing.ToldEntry]:
    """Run a load to its end and return what callers were told."""
    return finish_load(caller, start_load(caller, plan))


def percentile(values: Iterable[float], percent: int) -> float:
    """Return a percentile, linearly interpolated; 0 without values."""
    samples = list(values)
    if len(samples) < 2:
        return samples[0] if samples else 0
    return statistics.quantiles(samples, n=100, method='inclusive')[percent - 1]
