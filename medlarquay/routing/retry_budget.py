"""Budget of the retries of one ingress."""

import dataclasses

__all__ = ('RetryBudget',)

# Counted in tenths, so that ten first attempts make exactly one retry;
# sums of 0.1 in floating point do not.
_TENTHS_PER_FIRST_ATTEMPT = 1
_TENTHS_PER_RETRY = 10
# Ten retries: enough for one lost link with ten calls, too few for a storm.
_BURST_TENTHS = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that is filled by first attempts, not by time.

    Attributes
    ----------
    tenths : int
        Tenths of a token left. A new node starts empty, so the retries
        since its start never exceed a tenth of the first attempts.

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

    def count_first_attempt(self) -> None:
        """Add the share of one first attempt, up to the burst."""
        self.tenths = min(
            _BURST_TENTHS,
            self.tenths + _TENTHS_PER_FIRST_ATTEMPT,
        )

    def take(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tenths < _TENTHS_PER_RETRY:
            return False
        self.tenths -= _TENTHS_PER_RETRY
        return True
