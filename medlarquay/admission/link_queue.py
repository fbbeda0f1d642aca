"""Answers that wait on the link of the machine."""

import math

__all__ = ('LinkQueue',)


class LinkQueue:
    """Answers that wait on the link of the machine.

    Notes
    -----
    The owner of the bytes reports when they will have left. An answer that
    is handed over counts on top of the last report until the next one, which
    includes it.
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

    def book(self, link_bytes: int, now: float) -> None:
        """Count an answer that no report includes yet."""
        self._free_at = self.free_at(now) + self.time_of(link_bytes)

    def follow(self, free_at: float) -> None:
        """Take a report, which replaces what was counted."""
        self._free_at = free_at
