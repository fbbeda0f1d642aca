"""Event: requests start only up to a time."""

import dataclasses

__all__ = ('Closing',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Closing:
    """Event: requests start only up to a time, such as that of a departure.

    Attributes
    ----------
    closes_at : float
        Time from which none starts, seconds on the monotonic clock; infinite
        if the backend server stays.
    """

    closes_at: float
