"""One request of a replay."""

import dataclasses
import math

from medlarquay import ids, states

__all__ = ('ReplayRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayRequest:
    """One request of a replay.

    Attributes
    ----------
    arrives_at, deadline : float
        Seconds from the start of the replay.
    rank : Rank
        Priority class.
    service_s : float
        Seconds that the request holds a slot.
    due : float
        When an answer is worth most, seconds from the start.
    last_attempt : bool
        Whether no other owner would be asked.
    route : RouteName
        Route of the request.
    answer_bytes : int
        Size of the answer.
    local : bool
        Whether the caller is on the machine of the owner.
    leaves_at : float
        When the caller stops waiting, seconds from the start.
    """

    arrives_at: float
    deadline: float
    rank: states.Rank
    service_s: float
    due: float = math.inf
    last_attempt: bool = True
    route: ids.RouteName = ids.RouteName('')
    answer_bytes: int = 0
    local: bool = False
    leaves_at: float = math.inf
