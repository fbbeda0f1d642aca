"""Smoothed service times by rank."""

from medlarquay import states

__all__ = ('ServiceTimes',)

_SMOOTHING = 0.1
# Without this an estimate above every deadline would refuse all requests and
# never be corrected by a new sample.
_RELAXATION = 0.995
# With the mean alone, half of the work that starts just before its deadline
# ends after it. Two mean deviations cover service times that are uniform
# within half of their mean.
_DEVIATIONS = 2


class ServiceTimes:
    """Smoothed time that a request holds a slot, for each rank.

    Notes
    -----
    A rank without samples counts as 0 s, so its first requests are admitted.
    """

    def __init__(self) -> None:
        self._mean: dict[states.Rank, float] = {}
        self._deviation: dict[states.Rank, float] = {}
        self._overall: float = 0

    @property
    def overall(self) -> float:
        """Smoothed time over all ranks, in seconds."""
        return self._overall

    def expected(self, rank: states.Rank) -> float:
        """Return the expected time of a request, in seconds."""
        return self._mean.get(rank, 0)

    def cautious(self, rank: states.Rank) -> float:
        """Return a time that few requests exceed, in seconds."""
        deviation = self._deviation.get(rank, 0)
        return self.expected(rank) + _DEVIATIONS * deviation

    def add(self, rank: states.Rank, seconds: float) -> None:
        """Add a sample."""
        mean = self._mean.get(rank, seconds)
        self._mean[rank] = mean + _SMOOTHING * (seconds - mean)
        deviation = self._deviation.get(rank, 0)
        self._deviation[rank] = deviation + _SMOOTHING * (
            abs(seconds - mean) - deviation
        )
        overall = self._overall or seconds
        self._overall = overall + _SMOOTHING * (seconds - overall)

    def relax(self, rank: states.Rank) -> None:
        """Lower the estimate after a refusal that relied on it."""
        mean = self._mean.pop(rank, None)
        if mean is not None:
            self._mean[rank] = mean * _RELAXATION
            self._deviation[rank] *= _RELAXATION
