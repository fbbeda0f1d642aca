"""Request of a replay."""

import dataclasses
import math

from medlarquay import ids, states

__all__ = ('ReplayRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayRequest:
    """Request of a replay, with its times, service time and answer.

    Attributes
    ----------
    arrives_at, deadline : float
        Arrival and deadline, in seconds from the start of the replay.
    rank : Rank
        Priority class.
    service_s : float
        Service time: seconds that the request occupies a slot.
    due : float
        Time by which an answer has its full value, in seconds from the
        start.
    last_attempt : bool
        Whether this is the last attempt: no other owner is tried after a
        refusal.
    route : RouteName
        Route of the request.
    answer_bytes : int
        Size of the answer in bytes.
    local : bool
        Whether the caller is on the machine of the owner, so that the
        answer does not use the link.
    leaves_at : float
        When the caller disconnects, in seconds from the start.
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
