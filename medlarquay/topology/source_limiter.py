"""Limit of the calls that one node makes to the source."""

import math
import random

from medlarquay import states
from medlarquay.topology import backoff

__all__ = (
    'ISOLATED_PERIOD_S',
    'LIST_BURST',
    'READER_PERIOD_S',
    'SourceLimiter',
)

#: A reader sends a watch of one tree once in this time on average, in seconds.
READER_PERIOD_S = 1
#: Watches of the instance list that may follow each other at once: a change
#: that comes soon after another one would wait for the period. 16 readers
#: then make at most 16 x (3 + 1 + 1) = 80 calls in any second, documents
#: included.
LIST_BURST = 3
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
    burst : int
        Reads of a reader that may follow each other at once when it has
        sent none for so many periods. After a failure there is no burst.
    """

    def __init__(
        self,
        *,
        randomness: random.Random,
        burst: int = 1,
    ) -> None:
        self._randomness = randomness
        self._delays = backoff.Backoff(
            first=_FIRST_BACKOFF_S,
            longest=_LONGEST_BACKOFF_S,
            randomness=randomness,
        )
        self._ahead_s = (burst - 1) * READER_PERIOD_S
        # When a reader may send its next read if no burst were allowed.
        self._steady_at: float = -math.inf
        # Until when it waits after a failure.
        self._retry_at: float = -math.inf
        self._sent_at: float = -math.inf
        self._isolated_at: float | None = None

    def next_read(self, mode: states.ReadingMode, *, now: float) -> float:
        """Return when the next read may be sent, in monotonic seconds."""
        if mode is states.ReadingMode.READER:
            return self._reader_at(now)
        if self._isolated_at is None:
            phase = self._randomness.uniform(0, ISOLATED_PERIOD_S)
            self._isolated_at = now + phase
        return max(self._isolated_at, self._reader_at(now))

    def record_sent(self, *, now: float) -> None:
        """Note that a read was sent."""
        self._sent_at = now
        self._steady_at = max(now, self._steady_at) + READER_PERIOD_S
        self._isolated_at = now + ISOLATED_PERIOD_S

    def record_success(self) -> None:
        """Note that the source answered."""
        self._delays.reset()

    def record_failure(self, *, now: float) -> None:
        """Note that a read failed; the next waits for an increasing time."""
        self._retry_at = max(
            now + self._delays.next_delay(),
            self._sent_at + READER_PERIOD_S,
        )

    def _reader_at(self, now: float) -> float:
        return max(now, self._steady_at - self._ahead_s, self._retry_at)
