"""Counts of ticks that were requested for a time that had passed."""

import collections

__all__ = ('OverdueTicks',)


class OverdueTicks:
    """Counts the ticks that tasks requested for a time that had passed.

    Notes
    -----
    Some are normal, such as that of a request whose deadline has passed when
    it arrives. Many in a short time show a task whose tick leaves its earliest
    deadline in place.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, task: str) -> None:
        """Count one tick.

        Parameters
        ----------
        task : str
            Name of the task that requested it.
        """
        self._counts[task] += 1

    def take(self) -> tuple[str, int]:
        """Return the task with the most ticks since the last call.

        Returns
        -------
        tuple of str and int
            Name of the task, empty if there was no such tick, and the number
            of its ticks.
        """
        if not self._counts:
            return '', 0
        most = self._counts.most_common(1)[0]
        self._counts.clear()
        return most
