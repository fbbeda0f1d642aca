"""Estimate of the answers that wait for the machine's link."""

import math
from collections.abc import Mapping

from medlarquay import states

__all__ = ('LinkQueue',)


class LinkQueue:
    """Estimate of the answers that wait for the machine's link.

    Notes
    -----
    The uplink task, which sends the answers, reports when the link will have
    sent them. An answer that was handed to it is added to the last report
    until the next one, which includes it. Answers leave in order of rank.
    """

    def __init__(self) -> None:
        self._bytes_per_s = math.inf
        self._free_at: dict[states.Rank, float] = dict.fromkeys(states.Rank, 0)

    def configure(self, bytes_per_s: float) -> None:
        """Set the rate of the link; infinite if unknown."""
        self._bytes_per_s = bytes_per_s

    def transfer_time(self, answer_bytes: float) -> float:
        """Return the time that an answer takes on the link, in seconds."""
        return answer_bytes / self._bytes_per_s

    def free_at(self, rank: states.Rank, now: float) -> float:
        """Return when the answers up to a rank will have left.

        Parameters
        ----------
        rank : Rank
            Lowest rank that counts.
        now : float
            Seconds on the monotonic clock, like the result.
        """
        return max(self._free_at[rank], now)

    def add_answer(
        self, link_bytes: int, rank: states.Rank, now: float
    ) -> None:
        """Add an answer that no report includes yet."""
        for other in states.Rank:
            if rank in other.at_or_above():
                free_at = self.free_at(other, now) + self.transfer_time(
                    link_bytes
                )
                self._free_at[other] = free_at

    def apply_report(self, free_at: Mapping[states.Rank, float]) -> None:
        """Replace the estimate by a report of the uplink."""
        self._free_at.update(free_at)
