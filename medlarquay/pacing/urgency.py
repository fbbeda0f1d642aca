"""Scheduling parameters of a large frame."""

import dataclasses
import math

from medlarquay import states

__all__ = ('NO_DEADLINE', 'Urgency')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Urgency:
    """Scheduling parameters of a large frame.

    Attributes
    ----------
    rank : Rank
        Priority class of the call.
    due : float
        Time by which the frame should arrive, seconds on the monotonic clock.
    deadline : float
        Time after which the frame is of no use, on the same clock.
    """

    rank: states.Rank = states.Rank.NORMAL
    due: float = math.inf
    deadline: float = math.inf


#: Urgency of a frame of normal rank without due time or deadline.
NO_DEADLINE = Urgency()
