"""Event: the backlog of the machine's link changed."""

import dataclasses
from collections.abc import Mapping

from medlarquay import states

__all__ = ('LinkBacklogChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkBacklogChanged:
    """Event: the backlog of the machine's link changed.

    Attributes
    ----------
    free_at : Mapping[Rank, float]
        Time at which the answers of each rank and of all higher ranks will
        have left, seconds on the monotonic clock.
    """

    free_at: Mapping[states.Rank, float]
