"""Answers that wait on the link of the machine."""

import math
from collections.abc import Mapping

from medlarquay import states

__all__ = ('LinkQueue',)


class LinkQueue:
    """Answers that wait on the link of the machine.

    Notes
    -----
    The owner of the bytes reports when they will have left. An answer that
    is handed over counts on top of the last report until the next one, which
    includes it. Ranks leave in order.
    """

    def __init__(self) -> None:
        self._bytes_per_s = math.inf
        self._free_at: dict[states.Rank, float] = dict.fromkeys(states.Rank, 0)

    def configure(self, bytes_per_s: float) -> None:
        """Set what the link carries."""
        self._bytes_per_s = bytes_per_s

    def time_of(self, answer_bytes: float) -> float:
        """Return the seconds that an answer takes on the link."""
        return answer_bytes / self._bytes_per_s

    def free_at(self, rank: states.Rank, now: float) -> float:
        """Return when the answers up to a rank have left.

        Parameters
        ----------
        rank : Rank
            Last rank that counts.
        now : float
            Seconds on the monotonic clock, like the result.
        """
        return max(self._free_at[rank], now)

    def book(self, link_bytes: int, rank: states.Rank, now: float) -> None:
        """Count an answer that no report includes yet."""
        for other in states.Rank:
            if rank in other.at_or_above():
                free_at = self.free_at(other, now) + self.time_of(link_bytes)
                self._free_at[other] = free_at

    def follow(self, free_at: Mapping[states.Rank, float]) -> None:
        """Take a report, which replaces what was counted."""
        self._free_at.update(free_at)
