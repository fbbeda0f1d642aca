"""What an owner knows of the departure of its backend server."""

import dataclasses
import math

__all__ = ('Departure',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Departure:
    """What an owner knows of the departure of its backend server.

    All times are in seconds on the monotonic clock.

    Attributes
    ----------
    list_confirmed_at : float
        Latest time at which the instance list held was current; -inf if
        unknown.
    unlisted_since : float or None
        That time when the entry of the backend server was first missing;
        None while it is listed.
    closes_at : float
        Time from which no request is sent to it; infinite unless it leaves.
    """

    list_confirmed_at: float = -math.inf
    unlisted_since: float | None = None
    closes_at: float = math.inf

    def left_since(self, listed_until: float, now: float) -> float:
        """Return the earliest time at which it may have reported to leave.

        Parameters
        ----------
        listed_until : float
            Latest time at which the list is known not to have said so; the
            source may have said it right after that.
        now : float
            Present time.
        """
        return now if math.isinf(listed_until) else min(now, listed_until)
