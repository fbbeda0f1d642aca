"""Requests of a scenario."""

import random
from collections.abc import Iterator

from medlarquay.lab import demand, lab_call, scenario

__all__ = ('draw_arrivals',)

_SPREAD = 0.5


def draw_arrivals(
    experiment: scenario.Scenario,
    source: random.Random,
) -> Iterator[lab_call.LabCall]:
    """Yield all requests of a scenario, kind by kind in order of time."""
    for kind in experiment.demands:
        yield from _draw_kind(kind, experiment.seconds, source)


def _draw_kind(
    kind: demand.Demand,
    seconds: float,
    source: random.Random,
) -> Iterator[lab_call.LabCall]:
    # Poisson arrivals at the highest rate, thinned to the rate of the moment.
    highest = max(
        kind.rate(moment)
        for moment in (0, *(burst.starts_at for burst in kind.bursts))
    )
    now = source.expovariate(highest)
    while now < seconds:
        if source.random() * highest < kind.rate(now):
            yield lab_call.LabCall(
                kind=kind,
                sent_at=now,
                work_s=kind.work_s * source.uniform(1 - _SPREAD, 1 + _SPREAD),
            )
        now += source.expovariate(highest)
