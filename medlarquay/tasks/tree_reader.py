"""State of the reads of one tree of the source."""

import dataclasses
import math
from typing import Protocol

from medlarquay import ids, replica, topology
from medlarquay.tasks import tree_reader_machine

__all__ = ('TreeReader', 'TreeReaderOwner')


class TreeReaderOwner(Protocol):
    """Task that owns the reads."""

    def schedule(self, reader: 'TreeReader') -> None:
        """Schedule the next read."""

    def read(self, reader: 'TreeReader') -> None:
        """Send a read."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TreeReader:
    """State of the reads of one tree of the source.

    Attributes
    ----------
    tree : replica.SourceTree
        Tree that is read.
    limiter : topology.SourceLimiter
        Rate limit for the reads.
    owner : TreeReaderOwner
        Task that owns the reads.
    machine : tree_reader_machine.TreeReaderMachine
        State machine of the reads.
    due_at : float
        When the next read is sent, seconds on the monotonic clock; infinity
        if none is scheduled.
    overdue_at : float
        When the answer to the read in flight becomes overdue, seconds on the
        monotonic clock; infinity if there is none, or it was noted already.
    last_answer_at : float or None
        When the last answer arrived, seconds on the monotonic clock; None
        before the first.
    held_revision : ids.Revision
        Revision up to which this node holds the tree.
    """

    tree: replica.SourceTree
    limiter: topology.SourceLimiter
    owner: TreeReaderOwner
    machine: tree_reader_machine.TreeReaderMachine = dataclasses.field(
        init=False
    )
    due_at: float = math.inf
    overdue_at: float = math.inf
    last_answer_at: float | None = None
    held_revision: ids.Revision = ids.Revision(0)

    def __post_init__(self) -> None:
        """Build the state machine, which refers to this object."""
        self.machine = tree_reader_machine.build_machine(self)

    def next_check(self, now: float) -> float:
        """Return when a read will be due or overdue; infinity if never.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        return min(
            (at for at in (self.due_at, self.overdue_at) if at > now),
            default=math.inf,
        )

    def schedule(self) -> None:
        """Schedule the next read."""
        self.owner.schedule(self)

    def read(self) -> None:
        """Send a read."""
        self.due_at = math.inf
        self.owner.read(self)
