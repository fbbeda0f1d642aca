"""Random arrivals of the requests of a scenario."""

import random
from collections.abc import Iterator

from medlarquay.lab import demand, lab_call, scenario

__all__ = ('draw_arrivals',)

# Service times lie within this share of their mean on both sides.
_WORK_SPREAD = 0.5


def draw_arrivals(
    experiment: scenario.Scenario,
    rng: random.Random,
) -> Iterator[lab_call.LabCall]:
    """Yield all requests of a scenario, grouped by kind.

    Within a kind they come in order of time.
    """
    for kind in experiment.demands:
        yield from _draw_kind(kind, experiment.seconds, rng)


def _draw_kind(
    kind: demand.Demand,
    seconds: float,
    rng: random.Random,
) -> Iterator[lab_call.LabCall]:
    # Poisson arrivals at the highest rate, thinned to the rate at each time.
    peak_rate = max(
        kind.rate(moment)
        for moment in (0, *(burst.starts_at for burst in kind.bursts))
    )
    now = rng.expovariate(peak_rate)
    while now < seconds:
        if rng.random() * peak_rate < kind.rate(now):
            yield lab_call.LabCall(
                kind=kind,
                sent_at=now,
                work_s=kind.work_s
                * rng.uniform(1 - _WORK_SPREAD, 1 + _WORK_SPREAD),
            )
        now += rng.expovariate(peak_rate)
