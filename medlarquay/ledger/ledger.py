"""State of the idempotency ledger of one node."""

import collections

from medlarquay import ids
from medlarquay.ledger import bounds, home_history, running_entry, settled_entry

__all__ = ('Ledger',)


class Ledger:
    """Idempotency keys for which this node is the home.

    Parameters
    ----------
    instance : InstanceId
        Instance of this node.
    incarnation : Incarnation
        Incarnation of this node.
    retention_s : float
        Time for which settled entries are kept, in seconds.

    Notes
    -----
    Only ``decide`` changes the state. Settled entries are ordered by their
    deadlines, because each is appended with the same retention.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        retention_s: float = bounds.RETENTION_S,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.retention_s = retention_s
        self.history = home_history.HomeHistory(
            instance=instance,
            span_s=retention_s + bounds.CONVERGENCE_S + bounds.CLOCK_ERROR_S,
        )
        self.confirmed_at: float | None = None
        self.paused = False
        self.running: dict[ids.RequestKey, running_entry.RunningEntry] = {}
        self.settled: collections.OrderedDict[
            ids.RequestKey, settled_entry.SettledEntry
        ] = collections.OrderedDict()
        self.answer_bytes = 0

    @property
    def size(self) -> int:
        """Number of running and settled entries."""
        return len(self.running) + len(self.settled)
