"""Smoothed estimates of several kinds of samples."""

import collections
from typing import Generic, TypeVar

from medlarquay.admission import smoothed_estimate

__all__ = ('EstimateTable',)

# Kinds of earlier configurations are forgotten beyond this number.
_MAX_KINDS = 256
_UNKNOWN = smoothed_estimate.SmoothedEstimate()

_Kind = TypeVar('_Kind')


class EstimateTable(Generic[_Kind]):
    """Smoothed estimates by kind; the kinds used last are kept."""

    def __init__(self, *, smoothing: float) -> None:
        self._smoothing = smoothing
        self._kinds: collections.OrderedDict[
            _Kind, smoothed_estimate.SmoothedEstimate
        ] = collections.OrderedDict()

    def mean(self, kind: _Kind) -> float:
        """Return the mean of a kind; 0 before its first sample."""
        return self._kinds.get(kind, _UNKNOWN).mean

    def deviation(self, kind: _Kind) -> float:
        """Return the mean deviation of a kind."""
        return self._kinds.get(kind, _UNKNOWN).deviation

    def cautious(self, kind: _Kind) -> float:
        """Return a value that few samples of a kind exceed."""
        return self._kinds.get(kind, _UNKNOWN).cautious

    def add(self, kind: _Kind, sample: float) -> None:
        """Add a sample."""
        found = self._kinds.get(kind)
        if found is None:
            found = smoothed_estimate.SmoothedEstimate(
                smoothing=self._smoothing,
            )
            self._kinds[kind] = found
            if len(self._kinds) > _MAX_KINDS:
                self._kinds.popitem(last=False)
        found.add(sample)
        self._kinds.move_to_end(kind)

    def relax(self, kind: _Kind) -> None:
        """Lower the estimate of a kind after a refusal that relied on it."""
        found = self._kinds.get(kind)
        if found is not None:
            found.relax()
