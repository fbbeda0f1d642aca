"""Exponentially smoothed mean and mean deviation."""

import dataclasses

__all__ = ('SmoothedEstimate',)

_SMOOTHING = 0.1
# An estimate above every deadline refuses all requests, so no new sample would
# ever correct it. Each such refusal multiplies the estimate by this.
_DECAY_FACTOR = 0.995
# Mean deviations added to the mean for the upper estimate. By the mean alone,
# half of the requests that start just before their deadline end after it. Two
# deviations cover service times that are uniform within half of their mean.
_DEVIATIONS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class SmoothedEstimate:
    """Exponentially smoothed mean and mean deviation of samples.

    Attributes
    ----------
    smoothing : float
        Weight of a new sample, 0 to 1. The first samples weigh more, so that
        they are averaged.
    mean, deviation : float
        Mean and mean deviation in the unit of the samples; 0 before the first
        one.
    samples : int
        Number of samples.
    """

    smoothing: float = _SMOOTHING
    mean: float = 0
    deviation: float = 0
    samples: int = 0

    @property
    def upper_estimate(self) -> float:
        """Value that few samples exceed."""
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

    def decay(self) -> None:
        """Lower the estimate after a refusal that relied on it."""
        self.mean *= _DECAY_FACTOR
        self.deviation *= _DECAY_FACTOR
