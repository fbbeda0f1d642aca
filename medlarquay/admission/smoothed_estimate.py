"""Smoothed mean and deviation of one kind of samples."""

import dataclasses

__all__ = ('SmoothedEstimate',)

_SMOOTHING = 0.1
# Without this an estimate above every deadline would refuse all requests and
# never be corrected by a new sample.
_RELAXATION = 0.995
# With the mean alone, half of the work that starts just before its deadline
# ends after it. Two mean deviations cover service times that are uniform
# within half of their mean.
_DEVIATIONS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class SmoothedEstimate:
    """Smoothed mean and deviation of one kind of samples.

    Attributes
    ----------
    mean, deviation : float
        In the unit of the samples; 0 before the first one.
    """

    smoothing: float = _SMOOTHING
    mean: float = 0
    deviation: float = 0
    samples: int = 0

    @property
    def cautious(self) -> float:
        """A value that few samples exceed."""
        return self.mean + _DEVIATIONS * self.deviation

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.samples += 1
        if self.samples == 1:
            self.mean = sample
            return
        weight = max(self.smoothing, 1 / self.samples)
        difference = sample - self.mean
        self.mean += weight * difference
        self.deviation += weight * (abs(difference) - self.deviation)

    def relax(self) -> None:
        """Lower the estimate after a refusal that relied on it."""
        self.mean *= _RELAXATION
        self.deviation *= _RELAXATION
