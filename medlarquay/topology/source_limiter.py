"""Rate limit for the calls of one node to the source."""

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

#: Average period between a reader's watches of one tree, in seconds.
READER_PERIOD_S = 1
#: Number of watches of the instance list that may be sent back to back.
#: Without a burst, a change that comes soon after another one would wait for
#: the period. 16 readers then make at most 16 x (3 + 1 + 1) = 80 calls in any
#: second, documents included.
LIST_BURST = 3
#: Period between the reads of a node without peers, in seconds: 8,000 nodes
#: make 107 calls a second, which leaves room for the readers below the limit
#: of 200.
ISOLATED_PERIOD_S = 75

# A failed watch may be due to a lost connection rather than to the source, so
# the first retry follows soon. A backoff longer than the period of reads would
# delay changes after an outage, when the readers of all regions back off.
_FIRST_BACKOFF_S = 0.25
_LONGEST_BACKOFF_S = READER_PERIOD_S


class SourceLimiter:
    """Rate limit for the calls of one node to the source for one tree.

    Parameters
    ----------
    randomness : random.Random
        Source of the phase of a node without peers and of the jitter.
    burst : int
        Number of reads that a reader may send back to back when it has
        sent none for as many periods. After a failure there is no burst.
    """

    def __init__(
        self,
        *,
        randomness: random.Random,
        burst: int = 1,
    ) -> None:
        self._randomness = randomness
        self._backoff = backoff.Backoff(
            first=_FIRST_BACKOFF_S,
            longest=_LONGEST_BACKOFF_S,
            randomness=randomness,
        )
        self._burst_s = (burst - 1) * READER_PERIOD_S
        # When a reader could send its next read if no burst were allowed.
        self._steady_at: float = -math.inf
        # When a reader may retry after a failure.
        self._retry_at: float = -math.inf
        self._sent_at: float = -math.inf
        self._isolated_read_at: float | None = None

    def next_read(self, mode: states.ReadingMode, *, now: float) -> float:
        """Return when the next read may be sent, in monotonic seconds.

        Parameters
        ----------
        mode : states.ReadingMode
            Reader or isolated; an isolated node starts at a random phase.
        now : float
            Seconds on the monotonic clock.
        """
        if mode is states.ReadingMode.READER:
            return self._reader_read_at(now)
        if self._isolated_read_at is None:
            phase = self._randomness.uniform(0, ISOLATED_PERIOD_S)
            self._isolated_read_at = now + phase
        return max(self._isolated_read_at, self._reader_read_at(now))

    def record_sent(self, *, now: float) -> None:
        """Record that a read was sent."""
        self._sent_at = now
        self._steady_at = max(now, self._steady_at) + READER_PERIOD_S
        self._isolated_read_at = now + ISOLATED_PERIOD_S

    def record_success(self) -> None:
        """Record that the source answered, which resets the backoff."""
        self._backoff.reset()

    def record_failure(self, *, now: float) -> None:
        """Record that a read failed, which delays the next with backoff."""
        self._retry_at = max(
            now + self._backoff.next_delay(),
            self._sent_at + READER_PERIOD_S,
        )

    def _reader_read_at(self, now: float) -> float:
        return max(now, self._steady_at - self._burst_s, self._retry_at)
