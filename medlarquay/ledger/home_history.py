"""History of the listed backend servers, to find the home of a key."""

import collections

from medlarquay import ids, keys

__all__ = ('HomeHistory',)

# If the list changes more often, the history gets shorter than the span. Keys
# are then refused that could have run; none is accepted wrongly.
_MAX_CHANGES = 64


class HomeHistory:
    """Backend servers listed for the service over the key retention.

    Parameters
    ----------
    instance : InstanceId
        Instance of this node.
    span_s : float
        Length of the history in seconds: how long an instance must have been
        home to accept a key without a creation time.
    """

    def __init__(self, *, instance: ids.InstanceId, span_s: float) -> None:
        self._span_s = span_s
        self._instance = instance
        self._listed: collections.deque[
            tuple[float, frozenset[ids.InstanceId]]
        ] = collections.deque(maxlen=_MAX_CHANGES)
        self._complete_from: float = 0

    def replace(
        self,
        instances: frozenset[ids.InstanceId],
        now: float,
    ) -> None:
        """Record the backend servers that are listed from now on.

        Parameters
        ----------
        instances : frozenset[InstanceId]
            All listed backend servers, live and leaving.
        now : float
            Seconds on the monotonic clock.
        """
        if self._listed and self._listed[-1][1] == instances:
            return
        self._listed.append((now, instances))
        # The second set covers the start of the span, so the first is obsolete.
        while len(self._listed) > 1 and self._listed[1][0] < now - self._span_s:
            self._listed.popleft()

    def forget_before(self, start: float) -> None:
        """Disregard the history before a time, because it may lack changes.

        Parameters
        ----------
        start : float
            Start of the complete history, seconds on the monotonic clock.
        """
        self._complete_from = start

    def home_since(self, key: ids.RequestKey) -> float | None:
        """Return the time since which this instance is home of a key.

        Returns
        -------
        float or None
            Start of the uninterrupted period that lasts until now, seconds on
            the monotonic clock; None when another instance is home.
        """
        home_from = None
        for since, instances in reversed(self._listed):
            if keys.home_of(key, instances) != self._instance:
                break
            home_from = max(since, self._complete_from)
        return home_from
