"""The source answered a read or watch."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('DocumentsRead',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentsRead:
    """The source answered a read or watch.

    Attributes
    ----------
    tree : replica.SourceTree
        Tree that was read.
    after : ids.Revision
        Revision after which entries were requested.
    revision : ids.Revision
        Highest revision of the tree.
    entries : tuple[replica.SourceValue, ...]
        Entries newer than ``after``, or the whole tree.
    whole : bool
        Whether the entries are the whole tree; the source sends it when it
        no longer has the history since ``after``.
    requested_at : float
        Time at which the read was sent, seconds on the monotonic clock.
    wire_bytes : int
        Length of the encoded answer.
    """

    tree: replica.SourceTree
    after: ids.Revision
    revision: ids.Revision
    entries: tuple[replica.SourceValue, ...]
    requested_at: float
    whole: bool = False
    wire_bytes: int = 0
