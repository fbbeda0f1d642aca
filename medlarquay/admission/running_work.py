"""Running request, which holds a slot."""

import dataclasses

from medlarquay import ids, states

__all__ = ('RunningWork',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunningWork:
    """Running request, which holds a slot.

    Attributes
    ----------
    rank : Rank
        Priority class.
    started_at : float
        Time of the start, seconds on the monotonic clock.
    route : RouteName
        Route of the request.
    large : bool
        Whether a large answer is expected.
    """

    rank: states.Rank
    started_at: float
    route: ids.RouteName
    large: bool = False
