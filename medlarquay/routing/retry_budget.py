"""Retry budget of one ingress for one service."""

import dataclasses

__all__ = ('RetryBudget',)

# Tokens are counted in tenths, so that ten first attempts earn exactly one
# retry; floating-point sums of 0.1 are inexact.
_TENTHS_PER_FIRST_ATTEMPT = 1
_TENTHS_PER_RETRY = 10
# Ten retries: enough for one lost link with ten calls, too few for a retry
# storm.
_MAX_BURST = 10


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that is refilled by first attempts, not by time.

    Attributes
    ----------
    tenths : int
        Remaining tenths of a token. A new node starts with none, so the
        retries since its start never exceed a tenth of the first attempts.
    burst : int
        Maximum number of saved tokens.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> budget.take()
    False
    >>> for _ in range(10):
    ...     budget.count_first_attempt()
    >>> (budget.take(), budget.take())
    (True, False)
    """

    tenths: int = 0
    burst: int = _MAX_BURST

    def limit_burst(self, burst: int) -> None:
        """Set the maximum number of saved tokens, at most ten."""
        self.burst = min(_MAX_BURST, burst)
        self.tenths = min(self.tenths, self.burst * _TENTHS_PER_RETRY)

    def count_first_attempt(self) -> None:
        """Add a tenth of a token for a first attempt, up to the burst."""
        self.tenths = min(
            self.burst * _TENTHS_PER_RETRY,
            self.tenths + _TENTHS_PER_FIRST_ATTEMPT,
        )

    def take(self) -> bool:
        """Take one token if available; return whether it was taken."""
        if self.tenths < _TENTHS_PER_RETRY:
            return False
        self.tenths -= _TENTHS_PER_RETRY
        return True
