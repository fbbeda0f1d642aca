"""What the operators set for one backend server."""

import dataclasses
import math
from collections.abc import Mapping

from medlarquay import states

__all__ = ('Limits',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What the operators set for one backend server.

    Attributes
    ----------
    slots : int
        Requests that the backend server runs at once.
    floors : Mapping[Rank, float]
        Floor share of slot time for each rank, 0 to 1.
    queue_limit : int
        Most queued requests for each rank.
    exclusive : bool
        Whether the owner alone uses the slots: it knows how many are in use,
        so a shed answer is a fault of the backend server and no lack of room.
    cold_start : float
        Seconds over which slots are ramped up after a start.
    link_bytes_per_s : float
        What answers may use of the link of the machine; infinite when
        unknown.
    """

    slots: int
    floors: Mapping[states.Rank, float]
    queue_limit: int
    exclusive: bool = False
    cold_start: float = 0
    link_bytes_per_s: float = math.inf
