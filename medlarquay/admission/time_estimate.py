"""Smoothed mean and deviation of one kind of times."""

import dataclasses

__all__ = ('TimeEstimate',)

_SMOOTHING = 0.1
# Without this an estimate above every deadline would refuse all requests and
# never be corrected by a new sample.
_RELAXATION = 0.995
# With the mean alone, half of the work that starts just before its deadline
# ends after it. Two mean deviations cover service times that are uniform
# within half of their mean.
_DEVIATIONS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class TimeEstimate:
    """Smoothed mean and deviation of one kind of times.

    Attributes
    ----------
    mean, deviation : float
        Seconds; 0 before the first sample.
    """

    mean: float = 0
    deviation: float = 0

    @property
    def cautious(self) -> float:
        """A time that few samples exceed, in seconds."""
        return self.mean + _DEVIATIONS * self.deviation

    def add(self, seconds: float) -> None:
        """Add a sample."""
        if not self.mean:
            self.mean = seconds
            return
        difference = seconds - self.mean
        self.mean += _SMOOTHING * difference
        self.deviation += _SMOOTHING * (abs(difference) - self.deviation)

    def relax(self) -> None:
        """Lower the estimate after a refusal that relied on it."""
        self.mean *= _RELAXATION
        self.deviation *= _RELAXATION
