"""Limit of the calls that one node makes to the source."""

import random

from medlarquay import states
from medlarquay.topology import backoff

__all__ = ('ISOLATED_PERIOD_S', 'READER_PERIOD_S', 'SourceLimiter')

#: A reader sends a watch of one tree at most once in this time, in seconds.
READER_PERIOD_S = 1
#: A node without peers reads once in this time, in seconds: 8,000 nodes make
#: 107 calls a second, which leaves room for the readers below 200.
ISOLATED_PERIOD_S = 75

# A watch that was cut says nothing about the source, so the next read follows
# soon. A longer pause than the period of reads would delay a change after an
# outage, when the readers of all regions wait alike.
_FIRST_BACKOFF_S = 0.25
_LONGEST_BACKOFF_S = READER_PERIOD_S


class SourceLimiter:
    """Limit of the calls that one node makes to the source for one tree.

    Parameters
    ----------
    randomness : random.Random
        Gives the phase of a node without peers and the jitter.
    """

    def __init__(self, *, randomness: random.Random) -> None:
        self._randomness = randomness
        self._delays = backoff.Backoff(
            first=_FIRST_BACKOFF_S,
            longest=_LONGEST_BACKOFF_S,
            randomness=randomness,
        )
        self._reader_at: float = 0
        self._isolated_at: float | None = None

    def next_read(self, mode: states.ReadingMode, *, now: float) -> float:
        """Return when the next read may be sent, in monotonic seconds."""
        if mode is states.ReadingMode.READER:
            return max(now, self._reader_at)
        if self._isolated_at is None:
            phase = self._randomness.uniform(0, ISOLATED_PERIOD_S)
            self._isolated_at = now + phase
        return max(now, self._isolated_at, self._reader_at)

    def sent(self, *, now: float) -> None:
        """Note that a read was sent."""
        self._reader_at = now + READER_PERIOD_S
        self._isolated_at = now + ISOLATED_PERIOD_S

    def succeeded(self) -> None:
        """Note that the source answered."""
        self._delays.reset()

    def failed(self, *, now: float) -> None:
        """Note that a read failed; the next waits for an increasing time."""
        retry_at = now + self._delays.next_delay()
        self._reader_at = max(self._reader_at, retry_at)
