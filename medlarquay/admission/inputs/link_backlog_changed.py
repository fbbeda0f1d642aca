"""The answers that wait for the link have changed."""

import dataclasses
from collections.abc import Mapping

from medlarquay import states

__all__ = ('LinkBacklogChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkBacklogChanged:
    """The answers that wait for the link have changed.

    Attributes
    ----------
    free_at : Mapping[Rank, float]
        When the answers of each rank and of those before it will have
        left, seconds on the monotonic clock.
    """

    free_at: Mapping[states.Rank, float]
