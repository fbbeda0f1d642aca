"""Answers that wait on the link of the machine."""

import math

__all__ = ('LinkQueue',)


class LinkQueue:
    """Answers that wait on the link of the machine, as a fluid.

    Notes
    -----
    What is in the buffers of sockets cannot be seen, so each answer is
    counted when it is handed over and flows out at the rate of the link.
    """

    def __init__(self) -> None:
        self._bytes_per_s = math.inf
        self._free_at: float = 0

    def configure(self, bytes_per_s: float) -> None:
        """Set what the link carries."""
        self._bytes_per_s = bytes_per_s

    def time_of(self, answer_bytes: float) -> float:
        """Return the seconds that an answer takes on the link."""
        return answer_bytes / self._bytes_per_s

    def free_at(self, now: float) -> float:
        """Return when all answers have left, on the monotonic clock."""
        return max(self._free_at, now)

    def book(self, answer_bytes: int, now: float) -> None:
        """Count an answer that is handed over."""
        self._free_at = self.free_at(now) + self.time_of(answer_bytes)
