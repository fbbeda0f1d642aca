"""Table of smoothed estimates by kind of sample."""

import collections
from typing import Generic, TypeVar

from medlarquay.admission import smoothed_estimate

__all__ = ('EstimateTable',)

# Bounds the memory for kinds of earlier configurations.
_MAX_ESTIMATES = 256
_NO_SAMPLES = smoothed_estimate.SmoothedEstimate()

_Kind = TypeVar('_Kind')


class EstimateTable(Generic[_Kind]):
    """Smoothed estimates by kind of sample, with a bounded number of kinds.

    The kind whose last sample is the oldest is evicted first.

    Parameters
    ----------
    smoothing : float
        Weight of a new sample, 0 to 1.
    """

    def __init__(self, *, smoothing: float) -> None:
        self._smoothing = smoothing
        self._estimates: collections.OrderedDict[
            _Kind, smoothed_estimate.SmoothedEstimate
        ] = collections.OrderedDict()

    def mean(self, kind: _Kind) -> float:
        """Return the mean of a kind; 0 before its first sample."""
        return self._estimates.get(kind, _NO_SAMPLES).mean

    def deviation(self, kind: _Kind) -> float:
        """Return the mean deviation of a kind; 0 before its second sample."""
        return self._estimates.get(kind, _NO_SAMPLES).deviation

    def upper_estimate(self, kind: _Kind) -> float:
        """Return a value that few samples of a kind exceed."""
        return self._estimates.get(kind, _NO_SAMPLES).upper_estimate

    def add(self, kind: _Kind, sample: float) -> None:
        """Add a sample of a kind."""
        estimate = self._estimates.get(kind)
        if estimate is None:
            estimate = smoothed_estimate.SmoothedEstimate(
                smoothing=self._smoothing,
            )
            self._estimates[kind] = estimate
            if len(self._estimates) > _MAX_ESTIMATES:
                self._estimates.popitem(last=False)
        estimate.add(sample)
        self._estimates.move_to_end(kind)

    def decay(self, kind: _Kind) -> None:
        """Lower the estimate of a kind after a refusal that relied on it."""
        estimate = self._estimates.get(kind)
        if estimate is not None:
            estimate.decay()
