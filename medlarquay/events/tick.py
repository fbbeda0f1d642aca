"""A time asked for has come; deadlines are to be checked."""

import dataclasses

__all__ = ('Tick',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A time asked for has come; deadlines are to be checked.

    Attributes
    ----------
    now : float
        Seconds on the monotonic clock.
    lag_s : float
        Seconds since the time asked for; large after a pause.
    """

    now: float
    lag_s: float = 0
