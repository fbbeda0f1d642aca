"""When the link of a machine has room for another fragment."""

import math

__all__ = ('PACED_SHARE', 'Pace', 'fragment_bytes')

#: A fragment of this size costs little compared with its bytes, and delays a
#: small frame by well under a millisecond at 4,000 Mbit/s.
_MAX_FRAGMENT_BYTES = 32768
#: Below this the processor time for each fragment weighs more than the delay.
_MIN_FRAGMENT_BYTES = 2048
#: Time for which one fragment may occupy the link, in seconds.
_FRAGMENT_S = 0.016
#: Share of the link that fragments and counted frames may fill; the rest is
#: for headers, acknowledgements and frames that are not counted.
PACED_SHARE = 0.9
# Fragments are written this long before the link is expected to be free, so
# that a timer that fires late does not leave it idle.
_AHEAD_S = 0.016
# Frames that are not paced hold fragments back for this long at most, so that
# a rate that is set too low never stops them.
_MAX_DEBT_S = 0.2


class Pace:
    """Tells when the link of a machine has room for another fragment.

    Parameters
    ----------
    bytes_per_s : float
        What the link carries; infinite if unknown, which sets no pace.

    Notes
    -----
    A token bucket kept as the time at which all bytes counted so far will
    have left (virtual scheduling, as in the generic cell rate algorithm of
    ITU-T I.371).
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = -math.inf

    def count(self, length: int, now: float) -> None:
        """Count bytes given to the sockets of the machine."""
        busy_until = max(self._free_at, now) + self._time_of(length)
        self._free_at = min(busy_until, now + _MAX_DEBT_S)

    def ready_at(self) -> float:
        """Return when the next fragment may be written."""
        return self._free_at - _AHEAD_S

    def free_at(self, waiting: int, now: float) -> float:
        """Return when the bytes counted and those that wait will have left.

        Parameters
        ----------
        waiting : int
            Bytes that were not counted yet.
        now : float
            Seconds on the monotonic clock.
        """
        return max(self._free_at, now) + self._time_of(waiting)

    def arrival(self, length: int, now: float) -> float:
        """Return the earliest time by which the link can carry some bytes."""
        return now + length / self._bytes_per_s

    def _time_of(self, length: int) -> float:
        return length / (self._bytes_per_s * PACED_SHARE)


def fragment_bytes(bytes_per_s: float) -> int:
    """Return the content of one fragment for a link of a rate.

    Parameters
    ----------
    bytes_per_s : float
        What the link carries; infinite if unknown.
    """
    fitting = max(bytes_per_s * _FRAGMENT_S, _MIN_FRAGMENT_BYTES)
    return int(min(fitting, _MAX_FRAGMENT_BYTES))
