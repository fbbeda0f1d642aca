"""The backlog of large frames for the link of the machine has changed."""

import dataclasses
from collections.abc import Mapping

from medlarquay import states

__all__ = ('UplinkChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UplinkChanged:
    """The backlog of large frames for the link of the machine has changed.

    Attributes
    ----------
    free_at : Mapping[Rank, float]
        For each rank, the time at which all queued frames of this rank and
        of more urgent ones will have been sent, seconds on the monotonic
        clock.
    """

    free_at: Mapping[states.Rank, float]
