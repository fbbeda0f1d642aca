"""Limits that the operators set for one backend server."""

import dataclasses
import math
from collections.abc import Mapping

from medlarquay import states

__all__ = ('Limits',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits that the operators set for one backend server.

    Attributes
    ----------
    slots : int
        Number of requests that the backend server runs concurrently.
    floors : Mapping[Rank, float]
        Guaranteed share of slot time for each rank, 0 to 1.
    queue_limit : int
        Maximum number of queued requests for each rank.
    exclusive : bool
        Whether no other owner uses the slots. The owner then knows how many
        are in use, so a shed answer is a fault of the backend server and not
        a lack of slots.
    cold_start : float
        Seconds over which the usable slots are ramped up after a start of
        the backend server.
    link_bytes_per_s : float
        Rate of the machine's link that is available to answers; infinite if
        unknown.
    """

    slots: int
    floors: Mapping[states.Rank, float]
    queue_limit: int
    exclusive: bool = False
    cold_start: float = 0
    link_bytes_per_s: float = math.inf
