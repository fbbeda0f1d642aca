"""Rate limit for the fragments on a machine's link."""

import math

__all__ = ('PACED_SHARE', 'Pace', 'fragment_bytes')

#: The overhead of a fragment of this size is small compared with its bytes,
#: and it delays a small frame by well under a millisecond at 4,000 Mbit/s.
_MAX_FRAGMENT_BYTES = 32768
#: Below this size the processor time for each fragment costs more than the
#: shorter delay of small frames gains.
_MIN_FRAGMENT_BYTES = 2048
#: Maximum time for which one fragment may occupy the link.
_FRAGMENT_S = 0.016
#: Share of the link rate for fragments and counted frames; the rest is left to
#: headers, acknowledgements and frames that are not counted.
PACED_SHARE = 0.9
# Fragments are written this long before the link is expected to be free, so
# that a late timer does not leave it idle.
_LEAD_TIME_S = 0.016
# Frames that are not paced delay fragments by at most this, so that a rate that
# is set too low never stops the fragments.
_MAX_DEBT_S = 0.2


class Pace:
    """Token bucket that limits the rate of fragments on a machine's link.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the link; infinite if unknown, which sets no limit.

    Notes
    -----
    The bucket is kept as the time at which all bytes counted so far will have
    left (virtual scheduling, as in the generic cell rate algorithm of ITU-T
    I.371).
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = -math.inf

    def count(self, length: int, now: float) -> None:
        """Count bytes that were written to the sockets of the machine."""
        busy_until = max(self._free_at, now) + self._transfer_time(length)
        self._free_at = min(busy_until, now + _MAX_DEBT_S)

    def ready_at(self) -> float:
        """Return when the next fragment may be written (monotonic seconds)."""
        return self._free_at - _LEAD_TIME_S

    def free_at(self, waiting: int, now: float) -> float:
        """Return when the counted and the waiting bytes will have left.

        Parameters
        ----------
        waiting : int
            Number of bytes that wait and were not counted yet.
        now : float
            Seconds on the monotonic clock.
        """
        return max(self._free_at, now) + self._transfer_time(waiting)

    def earliest_arrival(self, length: int, now: float) -> float:
        """Return the earliest time by which the link can send some bytes."""
        return now + length / self._bytes_per_s

    def _transfer_time(self, length: int) -> float:
        return length / (self._bytes_per_s * PACED_SHARE)


def fragment_bytes(bytes_per_s: float) -> int:
    """Return the number of content bytes in one fragment.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the link; infinite if unknown.
    """
    size = max(bytes_per_s * _FRAGMENT_S, _MIN_FRAGMENT_BYTES)
    return int(min(size, _MAX_FRAGMENT_BYTES))
