"""Exponential delays with jitter."""

import random

__all__ = ('Backoff',)

_LEAST_SHARE = 0.5


class Backoff:
    """Exponential delays with jitter.

    Parameters
    ----------
    first, longest : float
        First and longest delay in seconds, before jitter.
    randomness : random.Random
        Source of the jitter: each delay is between half and all of it.
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
        self._whole = first

    def next_delay(self) -> float:
        """Return the next delay in seconds and double the one after it."""
        share = self._randomness.uniform(_LEAST_SHARE, 1)
        delay = self._whole * share
        self._whole = min(2 * self._whole, self._longest)
        return delay

    def reset(self) -> None:
        """Begin again with the first delay, after a success."""
        self._whole = self._first
