"""The source answered a read or watch."""

import dataclasses

from medlarquay import ids
from medlarquay.events import source_entry

__all__ = ('DocumentsRead',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentsRead:
    """The source answered a read or watch.

    Attributes
    ----------
    tree : str
        Tree that was read: teams or instances.
    revision : ids.Revision
        Highest revision of the tree.
    entries : tuple[source_entry.SourceEntry, ...]
        Entries newer than the revision asked for.
    asked_at : float
        When the read was sent, seconds on the monotonic clock.
    """

    tree: str
    revision: ids.Revision
    entries: tuple[source_entry.SourceEntry, ...]
    asked_at: float
