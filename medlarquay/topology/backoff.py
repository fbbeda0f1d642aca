"""Exponential backoff with jitter."""

import random

__all__ = ('Backoff',)

_MIN_JITTER_FACTOR = 0.5


class Backoff:
    """Exponential backoff with jitter.

    Parameters
    ----------
    first, longest : float
        First and longest delay in seconds, before jitter.
    randomness : random.Random
        Source of the jitter, which multiplies each delay by a factor
        between 0.5 and 1.
    """

    def __init__(
        self,
        *,
        first: float,
        longest: float,
        randomness: random.Random,
    ) -> None:
        self._first = first
        self._longest = longest
        self._randomness = randomness
        self._base_delay = first

    def next_delay(self) -> float:
        """Return the next delay in seconds and double the one after it."""
        factor = self._randomness.uniform(_MIN_JITTER_FACTOR, 1)
        delay = self._base_delay * factor
        self._base_delay = min(2 * self._base_delay, self._longest)
        return delay

    def reset(self) -> None:
        """Return to the first delay, after a success."""
        self._base_delay = self._first
