"""Shares of the attainable worth that simulated requests earned."""

import collections
from collections.abc import Iterable

from medlarquay.lab import lab_result

__all__ = ('by_kind', 'by_time', 'earned_share')

_CallResults = Iterable[lab_result.LabResult]


def earned_share(call_results: _CallResults) -> float:
    """Return the earned worth over the attainable worth; 0 without requests."""
    attainable: float = 0
    earned: float = 0
    for result in call_results:
        attainable += result.kind.worth
        earned += result.earned_worth
    return earned / attainable if attainable else 0


def by_kind(call_results: _CallResults) -> dict[str, float]:
    """Return the earned share of each kind of request, by its name."""
    groups = collections.defaultdict(list)
    for result in call_results:
        groups[result.kind.name].append(result)
    return {name: earned_share(group) for name, group in groups.items()}


def by_time(call_results: _CallResults, *, step_s: float) -> dict[float, float]:
    """Return the earned share of the requests sent in each time step.

    The keys are the starts of the steps, in seconds from the start.
    """
    groups = collections.defaultdict(list)
    for result in call_results:
        groups[result.sent_at // step_s * step_s].append(result)
    return {start: earned_share(groups[start]) for start in sorted(groups)}
