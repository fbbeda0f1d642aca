"""Since when this instance is the home of a key."""

import collections

from medlarquay import ids, keys

__all__ = ('HomeHistory',)

# A list that changes more often shortens the history, which refuses keys but
# never accepts one wrongly.
_MAX_CHANGES = 64


class HomeHistory:
    """Sets of backend servers over the key retention.

    Parameters
    ----------
    instance : InstanceId
        Instance of this node.
    span_s : float
        History that a home needs to accept a key without a creation time, in
        seconds.
    """

    def __init__(self, *, instance: ids.InstanceId, span_s: float) -> None:
        self._span_s = span_s
        self._instance = instance
        self._sets: collections.deque[
            tuple[float, frozenset[ids.InstanceId]]
        ] = collections.deque(maxlen=_MAX_CHANGES)
        self._known_from: float = 0

    def replace(
        self,
        instances: frozenset[ids.InstanceId],
        now: float,
    ) -> None:
        """Record the set in force from now on."""
        if self._sets and self._sets[-1][1] == instances:
            return
        self._sets.append((now, instances))
        # The second set began before the span, so the first is not needed.
        while len(self._sets) > 1 and self._sets[1][0] < now - self._span_s:
            self._sets.popleft()

    def forget_before(self, now: float) -> None:
        """Forget what was before: changes may have gone unnoticed."""
        self._known_from = now

    def home_since(self, key: ids.RequestKey) -> float | None:
        """Return since when this instance has been home without a break.

        Returns
        -------
        float or None
            Seconds on the monotonic clock; None when another one is home.
        """
        found = None
        for since, instances in reversed(self._sets):
            if keys.home_of(key, instances) != self._instance:
                break
            found = max(since, self._known_from)
        return found
