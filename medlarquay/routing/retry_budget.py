"""Budget of the retries of one ingress."""

import dataclasses

__all__ = ('RetryBudget',)

# Counted in tenths, so that ten first attempts make exactly one retry;
# sums of 0.1 in floating point do not.
_TENTHS_PER_FIRST_ATTEMPT = 1
_TENTHS_PER_RETRY = 10
# Ten retries: enough for one lost link with ten calls, too few for a storm.
_BURST = 10


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that is filled by first attempts, not by time.

    Attributes
    ----------
    tenths : int
        Tenths of a token left. A new node starts empty, so the retries
        since its start never exceed a tenth of the first attempts.
    burst : int
        Tokens that may be saved.

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
    burst: int = _BURST

    def limit(self, burst: int) -> None:
        """Save at most this number of tokens, and no more than ten."""
        self.burst = min(_BURST, burst)
        self.tenths = min(self.tenths, self.burst * _TENTHS_PER_RETRY)

    def count_first_attempt(self) -> None:
        """Add the share of one first attempt, up to the burst."""
        self.tenths = min(
            self.burst * _TENTHS_PER_RETRY,
            self.tenths + _TENTHS_PER_FIRST_ATTEMPT,
        )

    def take(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tenths < _TENTHS_PER_RETRY:
            return False
        self.tenths -= _TENTHS_PER_RETRY
        return True
