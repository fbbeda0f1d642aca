"""Reads of one tree of the source."""

import dataclasses
from typing import Protocol

from medlarquay import ids, replica, topology
from medlarquay.tasks import tree_reader_machine

__all__ = ('TreeReader', 'TreeReaderOwner')


class TreeReaderOwner(Protocol):
    """What the reads of one tree ask of their task."""

    def plan(self, reader: 'TreeReader') -> None:
        """Schedule the next read."""

    def read(self, reader: 'TreeReader') -> None:
        """Send a read."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TreeReader:
    """Reads of one tree of the source.

    Attributes
    ----------
    tree : replica.SourceTree
        Tree that is read.
    limiter : topology.SourceLimiter
        Limits the reads.
    owner : TreeReaderOwner
        Task that owns the reads.
    due_at : float or None
        When the next read is sent, seconds on the monotonic clock.
    ended_at : float or None
        When the last answer had arrived, seconds on the monotonic clock.
    held : ids.Revision
        Revision up to which the node holds the tree.
    """

    tree: replica.SourceTree
    limiter: topology.SourceLimiter
    owner: TreeReaderOwner
    machine: tree_reader_machine.TreeReaderMachine = dataclasses.field(
        init=False
    )
    due_at: float | None = None
    ended_at: float | None = None
    held: ids.Revision = ids.Revision(0)

    def __post_init__(self) -> None:
        """Build the state machine."""
        self.machine = tree_reader_machine.build_machine(self)

    def plan(self) -> None:
        """Schedule the next read."""
        self.owner.plan(self)

    def read(self) -> None:
        """Send a read."""
        self.due_at = None
        self.owner.read(self)
