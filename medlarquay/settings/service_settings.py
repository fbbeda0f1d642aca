"""One service of a team."""

import dataclasses

from medlarquay import ids, states

__all__ = ('ServiceSettings',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """One service of a team.

    Attributes
    ----------
    name : ids.ServiceName
        Name; unique within the team.
    floors : tuple[tuple[states.Rank, float], ...]
        Floor share of slot time for each rank, 0 to 1.
    queue_limit : int
        Most requests waiting at one backend server for each rank.
    cold_start_ms : int
        Time over which slots are ramped up after a start, in milliseconds.
    """

    name: ids.ServiceName
    floors: tuple[tuple[states.Rank, float], ...]
    queue_limit: int
    cold_start_ms: int
