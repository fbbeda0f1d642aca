"""Worth that an experiment earned."""

import collections
from collections.abc import Iterable

from medlarquay.lab import lab_result

__all__ = ('by_kind', 'by_time', 'share_earned')

_Play = Iterable[lab_result.LabResult]


def share_earned(play: _Play) -> float:
    """Return the worth earned over the worth owed."""
    owed: float = 0
    earned: float = 0
    for found in play:
        owed += found.kind.worth
        earned += found.earned
    return earned / owed if owed else 0


def by_kind(play: _Play) -> dict[str, float]:
    """Return the share that each kind of request earned."""
    groups = collections.defaultdict(list)
    for found in play:
        groups[found.kind.name].append(found)
    return {name: share_earned(group) for name, group in groups.items()}


def by_time(play: _Play, *, step_s: float) -> dict[float, float]:
    """Return the share earned in each span of time."""
    groups = collections.defaultdict(list)
    for found in play:
        groups[found.sent_at // step_s * step_s].append(found)
    return {start: share_earned(groups[start]) for start in sorted(groups)}
