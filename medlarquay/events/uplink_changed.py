"""What waits for the link of the machine has changed."""

import dataclasses
from collections.abc import Mapping

from medlarquay import states

__all__ = ('UplinkChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UplinkChanged:
    """What waits for the link of the machine has changed.

    Attributes
    ----------
    free_at : Mapping[Rank, float]
        When all that waits of each rank and of those before it will have
        left, seconds on the monotonic clock.
    """

    free_at: Mapping[states.Rank, float]
