"""What decides when a large frame is sent."""

import dataclasses
import math

from medlarquay import states

__all__ = ('NO_DEADLINE', 'Urgency')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Urgency:
    """What decides when a large frame is sent.

    Attributes
    ----------
    rank : Rank
        Priority class of the call.
    due : float
        Time by which the frame is worth most, seconds on the monotonic clock.
    deadline : float
        Time after which nobody waits for the frame, on the same clock.
    """

    rank: states.Rank = states.Rank.NORMAL
    due: float = math.inf
    deadline: float = math.inf


#: Urgency of a frame that may wait for ever.
NO_DEADLINE = Urgency()
