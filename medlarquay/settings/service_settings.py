"""Settings of one service of a team."""

import dataclasses

from medlarquay import ids, states

__all__ = ('ServiceSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """Settings of one service of a team.

    Attributes
    ----------
    name : ids.ServiceName
        Name; unique within the team.
    floors : tuple[tuple[states.Rank, float], ...]
        Floor of each rank: its guaranteed minimum share of the slot time,
        0 to 1.
    queue_limit : int
        Maximum number of requests that wait at one backend server, for each
        rank.
    cold_start_ms : int
        Time over which the slots of a backend server are ramped up after it
        starts, in milliseconds.
    """

    name: ids.ServiceName
    floors: tuple[tuple[states.Rank, float], ...]
    queue_limit: int
    cold_start_ms: int
