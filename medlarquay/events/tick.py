"""A timer of the task has fired; deadlines are to be checked."""

import dataclasses

__all__ = ('Tick',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A timer of the task has fired; deadlines are to be checked.

    Attributes
    ----------
    now : float
        Seconds on the monotonic clock.
    lag_s : float
        Delay of the timer in seconds; large after a pause of the process.
    """

    now: float
    lag_s: float = 0
